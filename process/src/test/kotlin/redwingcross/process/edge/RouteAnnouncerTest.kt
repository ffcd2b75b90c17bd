package redwingcross.process.edge

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.RouteChanges
import redwingcross.version.fleet.ServiceRoutes
import redwingcross.version.fleet.ServingGroup
import redwingcross.version.placement.LeaseEpoch
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val service = ServiceName("pool")

private fun group(number: Int) = ServingGroup(
    GroupId("m.1-$number"),
    GroupEpoch(number.toLong()),
    service,
    ModelName("m"),
    BackendServer("e$number"),
)

private fun routes(numbers: Iterable<Int>) = ServiceRoutes(numbers.map(::group).associateBy { it.id })

/**
 * Guards against gateways that keep outdated groups when announcements are lost, late or doubled, and against
 * announcements whose size grows with the number of groups although few have changed.
 */
class RouteAnnouncerTest {
    private fun RouteAnnouncement.received(epoch: Long, now: Duration) =
        RouteUpdate(service, epoch, sequence, base, changes, lost, now + 3.seconds)

    private fun publishAt(state: AnnouncerState, numbers: Iterable<Int>, now: Duration) =
        RouteAnnouncer.publish(state, routes(numbers), emptySet(), now)

    @Test
    fun `a change among many groups is announced without the groups that have not changed`() {
        val (first, _) = publishAt(AnnouncerState(LeaseEpoch(1)), 1..150, Duration.ZERO)
        val (settled, _) = publishAt(first, 1..150, 5.seconds)
        val (_, announcement) = publishAt(settled, 2..151, 6.seconds)
        assertEquals(listOf(group(151)), announcement?.changes?.groups)
        assertEquals(setOf(group(1).id), announcement?.changes?.removedGroups)
    }

    @Test
    fun `unchanged routes are confirmed twice a second by an announcement without content`() {
        val (first, announcement) = publishAt(AnnouncerState(LeaseEpoch(1)), 1..3, Duration.ZERO)
        assertNotNull(announcement)
        assertNull(publishAt(first, 1..3, 400.milliseconds).second)
        val (_, later) = publishAt(first.copy(past = emptyList()), 1..3, 600.milliseconds)
        assertTrue(later?.changes?.isEmpty == true, "$later")
    }

    @Property(tries = 200, seed = "71")
    fun `a gateway never has other groups than were announced, and has the latest once messages arrive`(
        @ForAll seed: Int,
    ) {
        val random = Random(seed)
        var announcer = AnnouncerState(LeaseEpoch(1))
        var gateway = FleetState()
        val announced = mutableListOf<Set<GroupId>>(emptySet())
        val inFlight = mutableListOf<Pair<Duration, RouteUpdate>>()
        var current = (1..20).toSet()
        var now = Duration.ZERO
        var needsComplete = false

        fun deliver(until: Duration) {
            val due = inFlight.filter { it.first <= until }
            inFlight.removeAll(due)
            for ((at, update) in due.shuffled(random)) {
                needsComplete = needsComplete || FleetDecision.isIncomplete(gateway, update)
                gateway = FleetDecision.announced(gateway, update, at)
                val groups = gateway.announced[service]?.routes?.groups?.keys.orEmpty()
                assertTrue(groups in announced, "seed $seed at $now: $groups was never announced")
            }
        }

        fun step(lossRate: Double) {
            now += 100.milliseconds
            val (next, announcement) = publishAt(announcer, current, now)
            announcer = next
            announced += next.routes.groups.keys
            announcement?.let { sent ->
                repeat(1 + random.nextInt(2)) {
                    if (random.nextDouble() >= lossRate) {
                        inFlight += now + (random.nextInt(400)).milliseconds to sent.received(1, now)
                    }
                }
            }
            if (needsComplete && random.nextDouble() >= lossRate) {
                needsComplete = false
                inFlight += now to RouteAnnouncer.complete(announcer).received(1, now)
            }
            deliver(now)
        }

        repeat(60) {
            if (random.nextInt(3) == 0) current = (1..40).filter { random.nextBoolean() }.toSet()
            step(lossRate = 0.4)
        }
        repeat(20) { step(lossRate = 0.0) }
        assertEquals(routes(current).groups.keys, gateway.announced[service]?.routes?.groups?.keys, "seed $seed")
    }

    @Test
    fun `a new controller announces only what has changed since the former one`() {
        val complete = RouteUpdate(service, 1, 9, null, RouteChanges((1..3).map(::group)), emptySet(), 9.seconds)
        val gateway = FleetDecision.announced(FleetState(), complete, 1.seconds)
        val start = RouteAnnouncer.start(LeaseEpoch(2), gateway.announced[service])
        val (_, announcement) = publishAt(start, listOf(2, 3, 4), 2.seconds)
        assertEquals(listOf(group(4)), announcement?.changes?.groups)
        val update = announcement!!.received(2, 2.seconds).copy(former = announcement.former)
        val next = FleetDecision.announced(gateway, update, 2.seconds)
        assertEquals(routes(2..4).groups.keys, next.announced[service]?.routes?.groups?.keys)
        val behind = FleetDecision.announced(FleetState(), complete.copy(sequence = 8), 1.seconds)
        assertTrue(FleetDecision.isIncomplete(behind, update))
    }

    @Test
    fun `changes of a new controller are not applied to the routes of the former one`() {
        val complete = RouteUpdate(service, 1, 9, null, RouteChanges(listOf(group(1))), emptySet(), 9.seconds)
        val state = FleetDecision.announced(FleetState(), complete, 1.seconds)
        val change = RouteUpdate(service, 2, 1, 1, RouteChanges(listOf(group(2))), emptySet(), 9.seconds)
        assertTrue(FleetDecision.isIncomplete(state, change))
        assertEquals(state, FleetDecision.announced(state, change, 2.seconds))
    }
}

/**
 * Guards against hundreds of processes that each watch the list of engines, and against processes that rely on
 * announcements after these have stopped.
 */
class ServerSourceTest {
    private fun view(size: Int = 95, rank: Int = 20, controller: Boolean = false, age: Duration = 300.milliseconds) =
        ServerSourceView(size, rank, controller, age, drain = 4.seconds)

    @Test
    fun `in a large fleet only the controller and the processes next in line watch the list`() {
        val watching = (0 until 95).count { !ServerSourceDecision.usesAnnouncements(false, view(rank = it)) }
        assertEquals(3, watching)
        assertFalse(ServerSourceDecision.usesAnnouncements(true, view(controller = true)))
    }

    @Test
    fun `a process without recent announcements watches the list well within the drain time`() {
        assertTrue(ServerSourceDecision.usesAnnouncements(true, view(age = 1.seconds)))
        assertFalse(ServerSourceDecision.usesAnnouncements(true, view(age = 3.seconds)))
        assertFalse(ServerSourceDecision.usesAnnouncements(false, view(age = Duration.INFINITE)))
    }

    private fun starting(age: Duration, first: Boolean = false, registry: Boolean = true, heard: Boolean = true) =
        StartView(age, first, registry, heard)

    @Test
    fun `a process that starts in a large fleet waits for the routes of a running controller only for a short time`() {
        val unheard = view(age = Duration.INFINITE).copy(start = starting(1100.milliseconds))
        assertTrue(ServerSourceDecision.usesAnnouncements(true, unheard))
        assertFalse(ServerSourceDecision.usesAnnouncements(true, unheard.copy(rank = 1)))
        assertFalse(ServerSourceDecision.usesAnnouncements(true, unheard.copy(start = starting(1300.milliseconds))))
    }

    @Test
    fun `a process that starts in a small fleet reads the list as soon as it has read the registry`() {
        val small = view(size = 8, age = Duration.INFINITE)
        val before = small.copy(start = starting(50.milliseconds, registry = false))
        assertTrue(ServerSourceDecision.usesAnnouncements(true, before))
        assertFalse(ServerSourceDecision.usesAnnouncements(true, small.copy(start = starting(60.milliseconds))))
    }

    @Test
    fun `at the first start only the controller and the processes next in line read the list`() {
        val young = view(size = 3, rank = 0, age = Duration.INFINITE).copy(start = starting(1.seconds, first = true))
        assertTrue(ServerSourceDecision.usesAnnouncements(true, young), "the others may not have registered yet")
        assertFalse(ServerSourceDecision.usesAnnouncements(true, young.copy(isActiveController = true)))
        val reading = (0 until 95).count {
            val settled = view(rank = it, age = Duration.INFINITE).copy(start = starting(2.seconds, first = true))
            !ServerSourceDecision.usesAnnouncements(true, settled)
        }
        assertEquals(3, reading)
    }

    @Test
    fun `in a small fleet every process watches the list`() {
        assertFalse(ServerSourceDecision.usesAnnouncements(true, view(size = 8)))
    }
}
