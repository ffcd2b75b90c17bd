package redwingcross.process.edge

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.admission.BackendKind
import redwingcross.version.admission.DemandView
import redwingcross.version.admission.KindDemand
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against decisions from a demand that no longer holds: of a controller that was paused or overtaken, of
 * gateways that are gone, or from a message that makes no sense.
 */
class DemandExchangeTest {
    private val kind = CompactName.of("large")
    private var now = 10.seconds
    private val logged = mutableListOf<String>()
    private val views = mutableListOf<DemandView>()

    private fun record(node: String) = GatewayRecord(node, 1, "10.0.0.1", 7001, "10.0.0.1:80", "a")

    private fun exchange() = DemandExchange(
        { counts, takenAt ->
            val kinds = counts.values.associate {
                val demand = KindDemand(0, 0, it.waitingInTime, it.waitingLate, it.freed / 10.0, it.refused / 10.0)
                BackendKind("large") to demand
            }
            DemandView(kinds, takenAt)
        },
        { views += it },
        MonotonicClock { now },
    ) { event, _ -> logged += event }

    private fun heartbeat(node: String, counts: KindCounts?) = Heartbeat(
        record(node),
        1,
        ready = true,
        leaving = false,
        demand = counts?.let { DemandCounts.toBytes(mapOf(kind to it)) },
    )

    private fun digest(epoch: Long = 3, demand: ByteArray? = null, age: Duration = Duration.ZERO): FleetDigest {
        val lease = HeldControllerLease(7, LeaseRecord(ProcessName("node-1"), LeaseEpoch(epoch), "n", 1.2.seconds))
        return FleetDigest(
            record("node-1"), epoch, 1, ByteArray(0), ByteArray(0), true, emptyMap(), lease, demand,
            age.inWholeMilliseconds,
        )
    }

    private val someDemand = assertNotNull(DemandCounts.toBytes(mapOf(kind to KindCounts(4, 5, 60, 7))))

    /** Runs heartbeat rounds in which [gateways] report [counts] each time. */
    private fun DemandExchange.rounds(number: Int, gateways: Int = 0, counts: KindCounts? = null) = repeat(number) {
        now += 250.milliseconds
        tick(hasDigests = true)
        repeat(gateways) { heartbeatReceived(heartbeat("node-$it", counts)) }
    }

    @Test
    fun `the controller sums the demand of all gateways, and forgets those it no longer hears`() {
        val controller = exchange()
        controller.rounds(8, gateways = 350, KindCounts(1, 2, 1, 0))
        val sent = PeerCodec.decode(PeerCodec.encode(controller.complete(digest()))) as FleetDigest
        val sums = assertNotNull(DemandCounts.of(assertNotNull(sent.demand)))
        assertEquals(350 to 700, sums[kind]?.let { it.waitingInTime to it.waitingLate })
        assertTrue(sums.getValue(kind).freed in 13_000..17_000, "1,400 a second, in ten seconds: $sums")
        controller.rounds(5)
        controller.complete(digest())
        assertEquals(0, controller.currentView?.kinds?.values?.sumOf { it.waitingInTime } ?: 0)
    }

    @Test
    fun `messages without demand are encoded as before the field existed`() {
        val plain = heartbeat("node-2", null)
        assertTrue("demand" !in PeerCodec.encode(plain).decodeToString())
        val sent = PeerCodec.encode(exchange().complete(digest()))
        assertTrue("demand" !in sent.decodeToString())
        val reporting = PeerCodec.encode(heartbeat("node-2", KindCounts(1, 2, 3, 4)))
        assertTrue(reporting.size - PeerCodec.encode(plain).size <= 20, "${reporting.size} bytes")
    }

    @Test
    fun `a controller that was paused states how old its inputs may be, and gateways ignore them`() {
        val controller = exchange()
        controller.rounds(4, gateways = 5, KindCounts(1, 0, 2, 0))
        now += 3.seconds
        controller.rounds(1, gateways = 5, KindCounts(1, 0, 2, 0))
        val first = controller.complete(digest())
        assertTrue(first.demandAgeMillis >= 3000, "${first.demandAgeMillis} ms")
        val gateway = exchange()
        views.clear()
        gateway.digestReceived(first)
        assertTrue(views.isEmpty(), "the inputs of the digest are from before the pause")
        controller.rounds(1, gateways = 5, KindCounts(1, 0, 2, 0))
        gateway.digestReceived(controller.complete(digest()))
        assertNotNull(gateway.currentView)
    }

    @Test
    fun `the demand of a controller that was overtaken is ignored, and so is a malformed one`() {
        val gateway = exchange()
        gateway.digestReceived(digest(epoch = 4, demand = someDemand))
        val before = gateway.currentView
        gateway.digestReceived(digest(epoch = 3, demand = DemandCounts.toBytes(mapOf(kind to KindCounts(9, 9, 9, 9)))))
        gateway.digestReceived(digest(epoch = 4, demand = ByteArray(7)))
        gateway.digestReceived(digest(epoch = 4, demand = ByteArray(17 * 11)))
        gateway.digestReceived(digest(epoch = 4, demand = someDemand, age = (-1).seconds))
        gateway.heartbeatReceived(heartbeat("node-9", null).copy(demand = ByteArray(3)))
        assertEquals(before, gateway.currentView)
        assertEquals(5, gateway.rejected)
        assertEquals(List(5) { "demand_rejected" }, logged)
    }

    @Test
    fun `a lost view is logged once, and once when it is back`() {
        val gateway = exchange()
        gateway.rounds(20)
        assertEquals(emptyList(), logged, "a process that has just started has lost nothing")
        gateway.digestReceived(digest(demand = someDemand))
        gateway.rounds(20)
        assertNull(gateway.currentView)
        gateway.digestReceived(digest(demand = someDemand))
        gateway.rounds(4)
        assertEquals(listOf("demand_view_lost", "demand_view_regained"), logged)
    }

    @Test
    fun `a fleet without digests takes its view from the heartbeats of all`() {
        val gateway = exchange()
        gateway.heartbeatReceived(heartbeat("node-2", KindCounts(3, 0, 10, 0)))
        now += 250.milliseconds
        gateway.tick(hasDigests = false)
        assertEquals(3, gateway.currentView?.kinds?.get(BackendKind("large"))?.waitingInTime)
    }

    @Property(seed = "73", tries = 200)
    fun `counts are the same after encoding`(@ForAll inTime: Short, @ForAll late: Short, @ForAll hash: Int) {
        val name = CompactName(hash and 0xffffff)
        val counts = mapOf(name to KindCounts(inTime.toInt() and 0xffff, late.toInt() and 0xffff, 70_000, 1))
        val bytes = assertNotNull(DemandCounts.toBytes(counts))
        assertContentEquals(bytes, DemandCounts.of(bytes)?.let(DemandCounts::toBytes))
        assertEquals(counts.mapValues { it.value.copy(freed = 65_535) }, DemandCounts.of(bytes))
    }
}
