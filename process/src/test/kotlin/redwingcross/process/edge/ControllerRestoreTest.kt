package redwingcross.process.edge

import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.fleet.CallerLimits
import redwingcross.version.fleet.ConfigurationVersion
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.StoreRevision
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.lease.StoredLease
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a fleet without an active controller, or with two, after an outage of the store, from which it may
 * come back with an older copy of its data.
 */
class ControllerRestoreTest {
    private val service = ServiceName("pool")
    private var now = 10.seconds
    private val actions = mutableListOf<Pair<Duration, () -> Unit>>()
    private val store = Store()
    private val processes = listOf(Process("n0", 0), Process("n1", 1), Process("n2", 2))

    /** Reads and writes of the lease with 10 ms for a request and 10 ms for its answer. */
    private inner class Store {
        private val history = mutableListOf<Triple<Duration, StoreRevision, LeaseRecord>>()
        var era = StoreEra.FIRST
        var isDown = false

        /** Comes back with the data of [age] ago. */
        fun restore(age: Duration) {
            era = StoreEra(era.value + 1)
            val copiedAt = now - age
            history.removeAll { it.first > copiedAt }
        }

        fun read(call: Long, answer: (LeaseMessage) -> Unit) = after(CALL_DELAY) {
            val latest = history.lastOrNull()?.let { StoredLease(StorePosition(era, it.second), it.third) }
            val result = if (isDown) LeaseMessage.ReadFailed(call) else LeaseMessage.ReadAnswered(call, latest, era)
            after(CALL_DELAY) { answer(result) }
        }

        fun write(call: Long, expected: StorePosition?, record: LeaseRecord, answer: (LeaseMessage) -> Unit) =
            after(CALL_DELAY) {
                val latest = history.lastOrNull()?.second
                val result = when {
                    isDown -> LeaseMessage.WriteFailed(call)
                    latest != expected?.revision -> LeaseMessage.Conflict(call)
                    else -> {
                        val next = StoreRevision((latest?.value ?: 0) + 1)
                        history += Triple(now, next, record)
                        LeaseMessage.Written(call, StorePosition(era, next))
                    }
                }
                after(CALL_DELAY) { answer(result) }
            }
    }

    private inner class Process(val name: String, rank: Int) {
        var isStoreAvailable = true
        var isPaused = false
        val announced = mutableListOf<Pair<LeaseEpoch, RouteAnnouncement>>()

        /** Times at which this process began and ceased to act, with the epoch. */
        val roles = mutableListOf<Triple<Duration, Boolean, Any?>>()
        private val task: ControllerTask = ControllerTask(
            ProcessName(name),
            "1",
            ControllerDependencies(
                configuration = { configuration },
                table = { EngineTable() },
                trafficSeen = { true },
                isMajorityReachable = { true },
                isStoreAvailable = { isStoreAvailable },
                applyReport = { _, _ -> },
                applyLeave = { _, _ -> },
                discardReports = { },
                readLease = { call -> store.read(call, ::leaseAnswered) },
                writeLease = { call, expected, record -> store.write(call, expected, record, ::leaseAnswered) },
                requestReport = { _, _ -> },
                sendOrder = { _, _ -> },
                isListComplete = { true },
                listPosition = { StorePosition(store.era, StoreRevision(1_000)) },
                catchUpList = { },
                announcedRoutes = { announced.lastOrNull()?.let { (epoch, sent) -> known(epoch, sent) } },
                announce = { _, epoch, announcement, _ -> announced += epoch to announcement },
                stepLater = { },
                becameController = { },
            ),
            MonotonicClock { now },
            { event, pairs ->
                val fields = pairs.toMap()
                if (event == "duties_state") roles += Triple(now, fields["acting"] == true, fields["epoch"])
            },
        )
        val isActing: Boolean get() = !isPaused && task.isActiveController

        init {
            task.handle(ControllerMessage.RankChanged(rank))
            after((rank * 30).milliseconds, ::tick)
        }

        private fun tick() {
            after(TICK, ::tick)
            if (isPaused) return
            task.handle(ControllerMessage.Tick)
            val held = task.heldLease ?: return
            val renewed = LeaseMessage.HolderRenewed(held.toStored(), held.renewedMillisAgo.milliseconds)
            processes.filter { it !== this }.forEach { other -> after(1.milliseconds) { other.leaseAnswered(renewed) } }
        }

        fun leaseAnswered(message: LeaseMessage) {
            if (!isPaused) task.handle(ControllerMessage.Lease(message))
        }

        fun storeRestored() {
            if (!isPaused) task.handle(ControllerMessage.StoreRestored(store.era))
        }
    }

    private val configuration = FleetConfiguration(
        ConfigurationVersion(1),
        emptyList(),
        mapOf(service to ServiceSpec(service, 300, 3.seconds, 26.0, null)),
        CallerLimits(),
        emptyList(),
    )

    private fun known(epoch: LeaseEpoch, sent: RouteAnnouncement) = FleetDecision.announced(
        FleetState(),
        RouteUpdate(service, epoch.value, sent.sequence, null, sent.changes, sent.lost, now + 5.seconds),
        now,
    ).announced.getValue(service)

    private fun after(delay: Duration, action: () -> Unit) {
        actions += now + delay to action
    }

    private fun advance(duration: Duration) {
        val end = now + duration
        while (true) {
            val next = actions.minByOrNull { it.first }?.takeIf { it.first <= end } ?: break
            actions.remove(next)
            now = next.first
            next.second()
            val acting = processes.filter { it.isActing }.map { it.name }
            assertTrue(acting.size <= 1, "$acting act at $now")
        }
        now = end
    }

    /** Runs until one process has acted for some seconds, and then through an outage; returns the process. */
    private fun runThroughOutage(outage: Duration = 2.seconds): Process {
        advance(20.seconds)
        store.isDown = true
        advance(50.milliseconds)
        processes.forEach { it.isStoreAvailable = false }
        advance(outage)
        return processes.single { it.isActing }
    }

    /** The longest time since [start] in which no process acted. */
    private fun longestGap(start: Duration): Duration {
        val changes = processes.flatMap { it.roles }.filter { it.first >= start }.sortedBy { it.first }
        val ends = changes.filter { !it.second }.map { it.first }
        return ends.maxOfOrNull { end ->
            (changes.firstOrNull { it.second && it.first >= end }?.first ?: Duration.INFINITE) - end
        } ?: Duration.ZERO
    }

    private fun storeReturns(isRestored: Boolean, newsDelay: Duration) {
        store.isDown = false
        if (isRestored) store.restore(9.seconds)
        advance(newsDelay)
        for (process in processes) {
            process.isStoreAvailable = true
            if (isRestored) process.storeRestored()
        }
    }

    @Test
    fun `the controller acts again at once after a restore`() {
        for (newsDelay in (0..300 step 10).map { it.milliseconds }) {
            val holder = runThroughOutage()
            val start = now
            storeReturns(isRestored = true, newsDelay)
            advance(5.seconds)
            assertTrue(holder.isActing, "${holder.name} doesn't act any more after news in $newsDelay")
            assertEquals(LeaseEpoch(store.era.value * 10_000 + 1).value, holder.roles.last().third)
            assertTrue(longestGap(start) <= 60.milliseconds, "gap of ${longestGap(start)} with news in $newsDelay")
        }
    }

    @Test
    fun `the controller keeps its role when the store is back before the restore is known`() {
        val holder = runThroughOutage()
        val start = now
        store.isDown = false
        store.restore(9.seconds)
        processes.forEach { it.isStoreAvailable = true }
        advance(100.milliseconds)
        processes.forEach { it.storeRestored() }
        advance(5.seconds)
        assertTrue(holder.isActing, "${holder.name} doesn't act any more")
        assertTrue(longestGap(start) <= 60.milliseconds, "gap of ${longestGap(start)}")
    }

    @Test
    fun `the return of the store does not interrupt the role of the controller`() {
        for (outage in (300..3000 step 100).map { it.milliseconds }) {
            val start = now
            val holder = runThroughOutage(outage)
            storeReturns(isRestored = false, 10.milliseconds)
            advance(5.seconds)
            assertTrue(holder.isActing, "${holder.name} doesn't act any more after $outage")
            assertEquals(Duration.ZERO, longestGap(start), "gap after an outage of $outage")
        }
    }

    @Test
    fun `a standby acts after a restore during which the controller has ended`() {
        val holder = runThroughOutage()
        holder.isPaused = true
        val start = now
        storeReturns(isRestored = true, 10.milliseconds)
        advance(4.seconds)
        assertEquals(1, processes.count { it !== holder && it.isActing }, "standbys that act")
    }

    private fun renewed(era: Long, epoch: Long): LeaseMessage {
        val record = LeaseRecord(ProcessName("n9"), LeaseEpoch(epoch), "n9-1-1", 1.2.seconds)
        return LeaseMessage.HolderRenewed(StoredLease(StorePosition(StoreEra(era), StoreRevision(1)), record))
    }

    @Test
    fun `a message that claims an era in which the store is not does not keep the processes from acting`() {
        advance(20.seconds)
        val holder = processes.single { it.isActing }
        val start = now
        processes.forEach { it.leaseAnswered(renewed(era = 9, epoch = 1)) }
        advance(5.seconds)
        assertTrue(holder.isActing, "${holder.name} doesn't act any more")
        assertEquals(Duration.ZERO, longestGap(start))
        holder.isPaused = true
        advance(5.seconds)
        assertEquals(1, processes.count { it !== holder && it.isActing }, "standbys that act")
    }

    @Test
    fun `a controller that the store does not answer does not act beside one of a newer era`() {
        val holder = runThroughOutage()
        holder.leaseAnswered(renewed(era = 1, epoch = 10_001))
        assertFalse(holder.isActing)
    }

    @Test
    fun `the announcements after a restore apply to the routes that gateways know from before`() {
        val holder = runThroughOutage()
        val (epoch, last) = holder.announced.last()
        val gateway = FleetState(announced = mapOf(service to known(epoch, last)))
        storeReturns(isRestored = true, 10.milliseconds)
        advance(1.seconds)
        val (newEpoch, first) = holder.announced.first { it.first > epoch }
        val (base, changes) = first.base to first.changes
        val update =
            RouteUpdate(service, newEpoch.value, first.sequence, base, changes, first.lost, now, first.former)
        assertFalse(FleetDecision.isIncomplete(gateway, update), "$update after $epoch ${last.sequence}")
        assertEquals(newEpoch.value, FleetDecision.announced(gateway, update, now).announced[service]?.leaseEpoch)
    }

    private companion object {
        val CALL_DELAY = 10.milliseconds
        val TICK = 100.milliseconds
    }
}
