package redwingcross.process.gossip

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import redwingcross.connection.peer.BuildFrame
import redwingcross.connection.peer.CorrelationId
import redwingcross.connection.peer.PeerAnswer
import redwingcross.connection.peer.PeerEndpoint
import redwingcross.connection.peer.PeerFrame
import redwingcross.connection.peer.PeerFrameCodec
import redwingcross.process.membership.Member
import redwingcross.process.membership.ProcessRole
import redwingcross.process.membership.RandomSeed
import redwingcross.process.membership.StartId
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.ControlState
import redwingcross.version.control.Overrides
import redwingcross.version.control.OverridesVersion
import redwingcross.version.placement.ZoneStatus
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs the coroutines of one process; while the process is paused, they are queued. */
@OptIn(InternalCoroutinesApi::class)
internal class PausableDispatcher(private val base: TestDispatcher) :
    CoroutineDispatcher(),
    Delay by (base as Delay) {
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    var isPaused = false
        set(value) {
            field = value
            while (!value && held.isNotEmpty()) held.removeFirst().let { base.dispatch(it.first, it.second) }
        }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (isPaused) held.addLast(context to block) else base.dispatch(context, block)
    }
}

/** A simulated process that checks the updates that it receives. */
internal class SimulatedPeer(
    val name: ProcessName,
    val start: StartId,
    val scope: CoroutineScope,
    val simulation: PeerSimulation,
) {
    val dispatcher = checkNotNull(scope.coroutineContext[CoroutineDispatcher]) as PausableDispatcher
    var control = ControlState()
    var isReplaced = false
    private val sequences = HashMap<ZoneKey, Long>()
    private var stamp: ConfirmationStamp? = null

    val handlers =
        PeerHandlers(
            controlState = { control },
            adoptControl = { _, state, _ -> adopt(state.overrides.version.value) },
            zoneReceived = ::checkZone,
            stampReceived = { _, stamp, at -> checkStamp(stamp, at) },
            replaced = { isReplaced = true },
        )
    val endpoint = Endpoint("${name.value}:1")
    val task: MembershipTask =
        MembershipTask(
            Member(
                name,
                if (isGateway) ProcessRole.GATEWAY else ProcessRole.CONTROLLER,
                PeerSimulation.zone,
                endpoint,
                if (isGateway) endpoint else null,
                start,
                simulation.now(),
            ),
            simulation.seeds,
            RandomSeed(start.value),
            { to, timeout, build -> simulation.request(this, to, timeout, build) },
            handlers,
            simulation.clock,
        )
    val answers =
        PeerResponder(name, task, handlers, { to, timeout, build -> simulation.request(this, to, timeout, build) })
    val view get() = task.view.value
    val isGateway get() = name.value.startsWith("gateway")

    suspend fun adopt(version: Long) {
        if (version <= control.overrides.version.value) return
        control = ControlState(overrides = Overrides(OverridesVersion(version)))
        task.adopted(ControlVersions(overrides = OverridesVersion(version)))
    }

    suspend fun confirm(version: Long) {
        adopt(version)
        simulation.lastConfirmed = simulation.now()
        task.confirmed(ConfirmationStamp(BundleVersion(0), OverridesVersion(version), Duration.ZERO))
    }

    suspend fun observe() = task.observed(ZoneStatus(PeerSimulation.zone, name, 0, emptyList()))

    private fun checkZone(status: ZoneStatus, createdAt: Duration) {
        val key = ZoneKey(status.zone, status.observer)
        if (status.observer == name) simulation.published[key to status.sequence] = simulation.now()
        check(status.sequence > (sequences[key] ?: 0)) { "$name: status of $key reverted to ${status.sequence}" }
        sequences[key] = status.sequence
        val published = simulation.published.getValue(key to status.sequence)
        check(createdAt <= published) {
            "$name: age of $key ${status.sequence} is understated by ${createdAt - published}"
        }
    }

    private fun checkStamp(received: ConfirmationStamp, at: Duration) {
        check(received.overrides >= (stamp?.overrides ?: OverridesVersion(0))) {
            "$name: stamp reverted to an older one"
        }
        check(at - received.age <= simulation.lastConfirmed) { "$name: age of a stamp is understated" }
        stamp = received
    }
}

/** Simulated network that delivers requests between tasks in virtual time, with loss, delay, pauses and partitions. */
internal class PeerSimulation(private val test: TestScope, seed: Long, val seeds: List<Endpoint>) {
    private val random = Random(seed)
    private val jobs = HashMap<ProcessName, Job>()
    private var correlations = 0L
    val clock = MonotonicClock { now() }
    val running = LinkedHashMap<ProcessName, SimulatedPeer>()
    val published = HashMap<Pair<ZoneKey, Long>, Duration>()
    var lastConfirmed = -Duration.INFINITE
    var loss = 0.0
    var delay = 1..3

    /** Side of a partition; only processes on the same side can reach each other. */
    var side: (ProcessName) -> Int = { 0 }

    /** Failure that ended a task that should be running. */
    var failure: Throwable? = null
    var requests = 0
    var largestFrameBytes = 0

    init {
        (LoggerFactory.getLogger("redwingcross") as ch.qos.logback.classic.Logger).level =
            ch.qos.logback.classic.Level.WARN
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    fun now(): Duration = test.currentTime.milliseconds

    fun start(name: ProcessName): SimulatedPeer {
        val job = Job(test.backgroundScope.coroutineContext[Job])
        val scope = test.backgroundScope + PausableDispatcher(StandardTestDispatcher(test.testScheduler)) + job
        val peer = SimulatedPeer(name, StartId(random.nextLong()), scope, this)
        jobs[name] = job
        running[name] = peer
        scope.launch { peer.task.run() }.invokeOnCompletion { if (running[name] === peer) failure = failure ?: it }
        return peer
    }

    /** Stops the process and its sockets without an announcement. */
    fun kill(name: ProcessName) {
        running.remove(name)
        jobs.remove(name)?.cancel()
    }

    suspend fun request(from: SimulatedPeer, to: PeerEndpoint, timeout: Duration, build: BuildFrame): PeerAnswer {
        val frame = recordSize(build(CorrelationId(++correlations)))
        requests++
        val answer =
            withTimeoutOrNull(timeout) {
                delay(delay.random(random).milliseconds)
                val target = running.values.find { it.endpoint.value == to.value }
                if (target == null || isLost(from, target)) awaitCancellation()
                val reply = CompletableDeferred<PeerFrame?>()
                target.scope.launch { reply.complete(target.answers.answer(frame)) }
                val answer = reply.await()?.let(::recordSize)
                delay(delay.random(random).milliseconds)
                if (answer == null || isLost(from, target)) awaitCancellation()
                answer
            }
        return if (answer == null) PeerAnswer.NoAnswer("timeout") else PeerAnswer.Answered(answer)
    }

    private fun isLost(from: SimulatedPeer, to: SimulatedPeer) =
        side(from.name) != side(to.name) || (loss > 0 && random.nextDouble() < loss)

    /** Records the size of [frame] and checks that it is at most 1,200 bytes. Requested content may be larger. */
    private fun recordSize(frame: PeerFrame): PeerFrame {
        val bytes =
            when (frame) {
                is PeerFrame.Ping -> frame.gossip
                is PeerFrame.Ack -> frame.gossip
                is PeerFrame.Gossip -> frame.gossip
                else -> return frame
            }
        val size = PeerFrameCodec.encode(frame).size
        val isContent = bytes.firstOrNull() in setOf<Byte>(1, 5, 7) && frame is PeerFrame.Gossip
        if (!isContent) largestFrameBytes = maxOf(largestFrameBytes, size)
        check(isContent || size <= 1_200) { "frame of $size bytes exceeds 1,200" }
        return frame
    }

    companion object {
        val zone = AvailabilityZone("brisbane-a")
    }
}
