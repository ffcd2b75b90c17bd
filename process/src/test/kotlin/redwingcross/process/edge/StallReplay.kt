package redwingcross.process.edge

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.RequestIdentity
import redwingcross.request.forward.OfferResult
import redwingcross.version.bundle.Endpoint
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.CrashSignals
import redwingcross.version.forwarding.GroupCandidate
import redwingcross.version.forwarding.GroupPlacement
import redwingcross.version.forwarding.WatchedRequest
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A replayed fleet: the small model of 13 groups under 177 requests a second, about 20 streams at each group. */
internal data class ReplayedFleet(
    val gateways: Int,
    /** Whether gateways share what they observe; otherwise each decides alone. */
    val isShared: Boolean = true,
    /** Part of the datagrams that is lost. */
    val datagramLoss: Double = 0.0,
    /** Time that a step of a group takes, in which it sends one event to each of its streams. */
    val stepTime: (Random) -> Duration = { 30.milliseconds + 20.milliseconds * it.nextDouble() },
)

/**
 * Replays requests at many gateways and the loss of groups in virtual time. The real [StreamProgress], [StallWatch] and
 * [StallCoordinator] decide; the question to the members of a suspected group is answered after 270 ms.
 */
internal class StallReplay(private val fleet: ReplayedFleet, seed: Int) {
    private class Event(val at: Duration, val order: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    private val clock = MonotonicClock { now }
    private val groups = List(GROUPS) { Group(GroupId("small.1-$it"), BackendServer("e$it")) }
    private val gateways = List(fleet.gateways) { Gateway(ProcessName("n$it")) }
    private val gone = HashSet<GroupId>()
    private val askedAt = HashMap<GroupId, Duration>()
    private val reported = groups.associateTo(HashMap()) { it.id to 0 }
    private var controllerPausedUntil = Duration.ZERO
    private val heldBack = mutableListOf<() -> Unit>()
    private val coordinator = StallCoordinator(
        StallCoordinatorDependencies(
            leaseEpoch = { 1 },
            inFlight = { reported[it]?.takeIf { _ -> it !in gone } },
            askMembers = ::askMembers,
            announce = { epoch, sequence, stalled, _ ->
                val announcement = StalledAnnouncement(epoch, sequence, stalled.toSet())
                gateways.forEach { gateway -> datagram { gateway.watch.announced(announcement) } }
            },
            runLater = { delay, action -> runLater(delay) { unlessPaused(action) } },
            log = { event, pairs -> logged += Triple(now, event, pairs.toMap()) },
        ),
        clock,
    )

    var now = Duration.ZERO
    val requests = mutableListOf<Request>()

    /** Requests sent to each group, with the time. */
    val sends = mutableListOf<Pair<GroupId, Duration>>()

    /** Groups whose members were asked. */
    val asked = mutableListOf<GroupId>()
    val logged = mutableListOf<Triple<Duration, String, Map<String, Any?>>>()

    val ignoredReports: Long get() = coordinator.ignored

    /** Times from the mark of a group to its end. */
    fun markTimes(): List<Duration> =
        logged.filter { it.second == "group_stall_ended" }.map { it.third["after"] as Duration }

    init {
        groups.forEach { group -> runLater(40.milliseconds * random.nextDouble()) { group.step() } }
        for (gateway in gateways) {
            runLater(CHECK * random.nextDouble()) { gateway.check() }
            runLater(LOAD_INTERVAL * random.nextDouble()) { gateway.reportLoad() }
        }
        arrive()
    }

    fun runUntil(end: Duration) {
        while (events.peek().at <= end) {
            val next = events.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    fun runLater(delay: Duration, action: () -> Unit): CancelTimer {
        events += Event(now + delay, order++, action)
        return CancelTimer {}
    }

    /** Makes each step of the group at [index] take [factor] times as long. */
    fun slow(index: Int, factor: Int) {
        groups[index].factor = factor
    }

    /** Stops the group at [index] now: it goes on accepting requests and answers none. */
    fun lose(index: Int) {
        groups[index].isLost = true
    }

    /** Keeps the controller from handling any message for [time]; those that arrive meanwhile are handled then. */
    fun pauseController(time: Duration) {
        controllerPausedUntil = now + time
        runLater(time) { heldBack.toList().also { heldBack.clear() }.forEach { it() } }
    }

    /** Runs until [end] and returns the longest time for which a gateway sent a group nothing new. */
    fun longestMarkUntil(end: Duration): Duration {
        val since = HashMap<Pair<Int, GroupId>, Duration>()
        var longest = Duration.ZERO
        while (now < end) {
            runUntil(now + SAMPLE)
            val current = gateways.indices.flatMap { index -> marked(index).map { index to it } }.toSet()
            since.keys.retainAll(current)
            current.forEach { longest = maxOf(longest, now - since.getOrPut(it) { now - SAMPLE }) }
        }
        return longest
    }

    fun sendEvidence(report: SilenceReport, gateway: String) = coordinator.received(ProcessName(gateway), report)

    /** Groups that gateway [index] sends nothing new at present. */
    fun marked(index: Int): Set<GroupId> = gateways[index].watch.marked()

    private fun datagram(receive: () -> Unit) {
        if (random.nextDouble() >= fleet.datagramLoss) runLater(LATENCY * (1 + random.nextDouble()), receive)
    }

    private fun toController(receive: () -> Unit) = datagram { unlessPaused(receive) }

    private fun unlessPaused(action: () -> Unit) {
        if (now < controllerPausedUntil) heldBack += action else action()
    }

    private fun askMembers(group: GroupId) {
        if (group in gone || askedAt[group]?.let { now - it < 400.milliseconds } == true) return
        askedAt[group] = now
        asked += group
        runLater(270.milliseconds) {
            if (!groups.first { it.id == group }.isLost) return@runLater
            gone += group
            gateways.forEach { gateway -> runLater(LATENCY) { gateway.groupLost(group) } }
        }
    }

    private fun arrive() {
        runLater((1.seconds / REQUESTS_PER_SECOND) * -ln(1 - random.nextDouble())) {
            Request(gateways.random(random)).also { requests += it }.send()
            arrive()
        }
    }

    internal inner class Group(val id: GroupId, val head: BackendServer) {
        val running = LinkedHashSet<Request>()
        var isLost = false
        var factor = 1

        fun step() {
            if (isLost) return
            running.filter { now - it.sentAt >= PROMPT_TIME }.forEach { runLater(LATENCY) { it.eventReceived(this) } }
            runLater(fleet.stepTime(random) * factor, ::step)
        }
    }

    internal inner class Gateway(val name: ProcessName) {
        val tasks = LinkedHashSet<Request>()
        private val progress = StreamProgress(clock, { toController { askMembers(it) } }, { _, _ -> })
        private val knownGone = HashSet<GroupId>()

        /** Requests of this gateway at each group as it last reported them, and at present. */
        private var lastReported = emptyMap<GroupId, Int>()
        val running = HashMap<GroupId, Int>()
        val watch: StallWatch<Request> = StallWatch(
            StallWatchDependencies(
                tasks = { tasks.toList() },
                report = { report -> toController { if (fleet.isShared) coordinator.received(name, report) } },
                inFlight = { backend -> reported.getValue(backend.group!!) },
                freePlaces = { _, except -> groups.filter { it.id !in except }.sumOf { SLOTS - it.running.size } },
                crashes = CrashSignals({ null }, { false }, { _, _ -> false }, {}, { _, _, _ -> }),
                runLater = ::runLater,
            ),
            clock,
            random,
        )

        private fun marked(): Set<GroupId> = if (fleet.isShared) watch.marked() else emptySet()

        fun check() {
            progress.check(tasks.toList())
            runLater(CHECK, ::check)
        }

        fun reportLoad() {
            val current = running.toMap()
            for (group in current.keys + lastReported.keys) {
                reported.merge(group, (current[group] ?: 0) - (lastReported[group] ?: 0), Int::plus)
            }
            lastReported = current
            runLater(LOAD_INTERVAL, ::reportLoad)
        }

        private fun load(group: GroupId): Int =
            reported.getValue(group) - (lastReported[group] ?: 0) + (running[group] ?: 0)

        private fun avoided(): Set<GroupId> = progress.stalledGroups + marked()

        fun canMove(from: GroupId?): Boolean = choose(setOfNotNull(from))?.let { it.id !in avoided() } == true

        fun choose(except: Set<GroupId> = emptySet()): Group? {
            val usable = groups.filter { it.id !in knownGone && it.id !in except }
            val avoided = avoided()
            val candidates = usable.filter { it.id !in avoided }.ifEmpty { usable }
                .map { GroupCandidate(it, load(it.id), 1.0) }.filter { it.inFlight < SLOTS }
            return GroupPlacement.choose(candidates, SLOTS, fleet.gateways, random)?.group
        }

        fun groupLost(group: GroupId) {
            knownGone += group
            tasks.filter { it.group == group }.forEach(Request::moveFromLost)
        }
    }

    /** A request, its answer and when it was moved. */
    inner class Request(private val gateway: Gateway) : WatchedRequest {
        val arrivedAt = now
        var sentAt = now
        var firstEventAt: Duration? = null
        private var sends = 0
        private var received = 0
        private var current: Group? = null
        override val identity = IDENTITY
        override val isStream = true
        override val backend get() = current?.let { ChosenBackend(it.head, ADDRESS, it.id, "small") }
        override var progressAt = now
        override var hasProgressed = false
        private val canBeMoved get() = sends < 2

        internal fun send() {
            val next = gateway.choose(setOfNotNull(group))
            release()
            if (next == null) return
            sends++
            sentAt = now
            progressAt = now
            hasProgressed = false
            current = next
            gateway.tasks += this
            next.running += this
            gateway.running.merge(next.id, 1, Int::plus)
            this@StallReplay.sends += next.id to now
            backend?.let(gateway.watch::requestSent)
        }

        internal fun eventReceived(from: Group) {
            if (current !== from) return
            backend?.let { gateway.watch.progressed(it, now - progressAt, !hasProgressed) }
            hasProgressed = true
            progressAt = now
            if (firstEventAt == null) firstEventAt = now
            if (++received == EVENTS) release()
        }

        override fun moveSilent(end: OfferResult, detail: String, onMoved: () -> Unit) {
            if (!canBeMoved || !gateway.canMove(group)) return
            onMoved()
            send()
        }

        internal fun moveFromLost() {
            if (canBeMoved) send()
        }

        private fun release() {
            val left = current ?: return
            left.running -= this
            gateway.running.merge(left.id, -1, Int::plus)
            gateway.tasks -= this
            current = null
        }
    }

    companion object {
        const val GROUPS = 13
        const val SLOTS = 34
        private const val EVENTS = 30
        private const val REQUESTS_PER_SECOND = 177
        private val PROMPT_TIME = 90.milliseconds
        private val SAMPLE = 10.milliseconds
        private val LATENCY = 1.milliseconds
        private val CHECK = 100.milliseconds
        private val LOAD_INTERVAL = 250.milliseconds
        private val ADDRESS = Endpoint("10.0.0.1:80")
        private val IDENTITY = RequestIdentity(AttemptId("1"), emptySet())
    }
}
