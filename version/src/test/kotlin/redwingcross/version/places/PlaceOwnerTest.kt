package redwingcross.version.places

import redwingcross.request.BackendServer
import redwingcross.request.ModelName
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Transition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against slots that are granted twice, or lost for good, because a report of a gateway was lost, late, repeated
 * or came from a former start of it.
 */
class PlaceOwnerTest {
    private val kind = PlaceKind(ServiceName("s"), ModelName("m"))
    private val head = BackendServer("e")
    private var groups: List<OwnedGroup>? = listOf(OwnedGroup(head, slots = 2, slowness = 1.0))
    private val owner = PlaceOwner { groups }
    private var state = PlaceOwnerState()
    private var now = Duration.ZERO

    private fun gateway(name: String, start: Long = 1) = GatewayStart(ProcessName(name), start)

    private fun Transition<PlaceOwnerState, AddressedAnswer>.apply(): List<AddressedAnswer> {
        this@PlaceOwnerTest.state = state
        return effects
    }

    private fun report(
        name: String,
        sequence: Long,
        open: Set<Long> = emptySet(),
        held: Int = 0,
        start: Long = 1,
        asks: Boolean = sequence in open,
        priority: Int = 0,
    ) = owner.reported(
        state,
        PlaceReport(
            gateway(name, start),
            sequence,
            if (held == 0) emptyMap() else mapOf(head to held),
            open.mapTo(HashSet(), ::PlaceNumber),
            if (asks) PlaceRequest(kind, priority = priority) else null,
        ),
        now,
    ).apply()

    private fun granted(name: String, number: Long) =
        AddressedAnswer(ProcessName(name), PlaceAnswer.Granted(PlaceNumber(number), head))

    private fun queued(name: String, number: Long) =
        AddressedAnswer(ProcessName(name), PlaceAnswer.Queued(PlaceNumber(number)))

    @Test
    fun `a place that comes free goes to the request that has waited longest`() {
        assertEquals(listOf(granted("a", 1)), report("a", 1, setOf(1)))
        assertEquals(listOf(granted("b", 1)), report("b", 1, setOf(1)))
        assertEquals(listOf(queued("c", 1)), report("c", 1, setOf(1)))
        assertEquals(listOf(queued("d", 1)), report("d", 1, setOf(1)))
        assertEquals(emptyList(), report("a", 2, held = 1), "the grant is in use now")
        assertEquals(listOf(granted("c", 1)), report("a", 3))
    }

    @Test
    fun `a more urgent request gets the place before one that has waited longer`() {
        report("a", 1, setOf(1))
        report("a", 2, held = 2)
        report("b", 1, setOf(1), priority = 2)
        report("c", 1, setOf(1), priority = 1)
        assertEquals(listOf(granted("c", 1)), report("a", 3, held = 1))
    }

    @Test
    fun `a queued request is declined when its service was removed, and kept while its groups are gone`() {
        report("a", 1, setOf(1))
        report("a", 2, held = 2)
        report("b", 1, setOf(1))
        groups = emptyList()
        assertEquals(emptyList(), report("a", 3, held = 1))
        groups = null
        assertEquals(
            listOf(AddressedAnswer(ProcessName("b"), PlaceAnswer.Declined(PlaceNumber(1)))),
            report("a", 4, held = 1),
        )
        assertEquals(0, state.queue.size)
    }

    @Test
    fun `a repeated or late report changes nothing`() {
        report("a", 1, setOf(1))
        report("a", 2, held = 1)
        assertEquals(emptyList(), report("a", 1, setOf(1)))
        assertEquals(emptyList(), report("a", 2, held = 2))
        assertEquals(1, state.taken[head])
    }

    @Test
    fun `a lost report of a freed place is made up by the next report or heartbeat`() {
        report("a", 1, setOf(1))
        report("a", 2, held = 1)
        now += PlaceOwner.GRANT_IN_TRANSIT
        owner.loadReported(state, ProcessName("a"), emptyMap(), now).apply()
        assertEquals(null, state.taken[head])
    }

    @Test
    fun `a heartbeat sent before a grant arrived does not free the granted place`() {
        report("a", 1, setOf(1))
        now += 10.milliseconds
        owner.loadReported(state, ProcessName("a"), emptyMap(), now).apply()
        assertEquals(1, state.taken[head])
    }

    @Test
    fun `places of a gateway that started again or is gone are free`() {
        report("a", 1, setOf(1))
        report("a", 2, held = 2)
        report("b", 1, setOf(1))
        assertEquals(listOf(granted("b", 1)), report("a", 1, start = 2))
        assertEquals(emptyList(), report("a", 9, held = 2, start = 1), "a report of the former start")
        owner.gatewayLost(state, ProcessName("b"), now).apply()
        assertEquals(null, state.taken[head])
    }

    @Test
    fun `requests queue behind each other only while somebody still waits for them`() {
        report("a", 1, setOf(1))
        report("a", 2, held = 2)
        report("b", 1, setOf(1))
        report("c", 1, setOf(1))
        report("b", 2, emptySet())
        assertEquals(listOf(granted("c", 1)), report("a", 3, held = 1))
        now += PlaceOwner.QUEUE_LIFETIME
        assertEquals(emptyList(), state.queue.toList())
    }

    @Test
    fun `a kind without groups to grant is left to the gateway`() {
        val empty = PlaceOwner { emptyList() }
        val request = PlaceReport(gateway("a"), 1, emptyMap(), setOf(PlaceNumber(1)), PlaceRequest(kind))
        val answer = empty.reported(state, request, now).effects.single().answer
        assertEquals(PlaceAnswer.Declined(PlaceNumber(1)), answer)
    }
}
