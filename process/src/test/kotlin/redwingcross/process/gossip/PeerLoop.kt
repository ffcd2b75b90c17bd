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
import redwingcross.process.membership.RandomSeed
import redwingcross.process.membership.Member
import redwingcross.process.membership.ProcessRole
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

/** Runs the coroutines of one process and holds them back while the process is stopped. */
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

/** A process of the loop and what it was told, checked as it arrives. */
internal class LoopPeer(val name: ProcessName, val start: StartId, val scope: CoroutineScope, val loop: PeerLoop) {
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
                PeerLoop.zone,
                endpoint,
                if (isGateway) endpoint else null,
                start,
                loop.now(),
            ),
            loop.seeds,
            RandomSeed(start.value),
            { to, timeout, build -> loop.request(this, to, timeout, build) },
            handlers,
            loop.clock,
        )
    val answers = PeerResponder(name, task, handlers, { to, timeout, build -> loop.request(this, to, timeout, build) })
    val view get() = task.view.value
    val isGateway get() = name.value.startsWith("gateway")

    suspend fun adopt(version: Long) {
        if (version <= control.overrides.version.value) return
        control = ControlState(overrides = Overrides(OverridesVersion(version)))
        task.adopted(ControlVersions(overrides = OverridesVersion(version)))
    }

    suspend fun confirm(version: Long) {
        adopt(version)
        loop.lastConfirmed = loop.now()
        task.confirmed(ConfirmationStamp(BundleVersion(0), OverridesVersion(version), Duration.ZERO))
    }

    suspend fun observe() = task.observed(ZoneStatus(PeerLoop.zone, name, 0, emptyList()))

    private fun checkZone(status: ZoneStatus, bornAt: Duration) {
        val key = ZoneKey(status.zone, status.observer)
        if (status.observer == name) loop.published[key to status.sequence] = loop.now()
        check(status.sequence > (sequences[key] ?: 0)) { "$name: status of $key went back to ${status.sequence}" }
        sequences[key] = status.sequence
        val published = loop.published.getValue(key to status.sequence)
        check(bornAt <= published) { "$name: age of $key ${status.sequence} is understated by ${bornAt - published}" }
    }

    private fun checkStamp(heard: ConfirmationStamp, at: Duration) {
        check(heard.overrides >= (stamp?.overrides ?: OverridesVersion(0))) { "$name: stamp went back" }
        check(at - heard.age <= loop.lastConfirmed) { "$name: age of a stamp is understated" }
        stamp = heard
    }
}

/** Delivers requests between tasks in virtual time, with loss, delay, pauses and partitions. */
internal class PeerLoop(private val test: TestScope, seed: Long, val seeds: List<Endpoint>) {
    private val random = Random(seed)
    private val jobs = HashMap<ProcessName, Job>()
    private var correlations = 0L
    val clock = MonotonicClock { now() }
    val running = LinkedHashMap<ProcessName, LoopPeer>()
    val published = HashMap<Pair<ZoneKey, Long>, Duration>()
    var lastConfirmed = -Duration.INFINITE
    var loss = 0.0
    var delay = 1..3

    /** Processes reach each other only on the same side. */
    var side: (ProcessName) -> Int = { 0 }

    /** What ended a task that should be running. */
    var failure: Throwable? = null
    var requests = 0
    var largest = 0

    init {
        (LoggerFactory.getLogger("redwingcross") as ch.qos.logback.classic.Logger).level =
            ch.qos.logback.classic.Level.WARN
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    fun now(): Duration = test.currentTime.milliseconds

    fun start(name: ProcessName): LoopPeer {
        val job = Job(test.backgroundScope.coroutineContext[Job])
        val scope = test.backgroundScope + PausableDispatcher(StandardTestDispatcher(test.testScheduler)) + job
        val peer = LoopPeer(name, StartId(random.nextLong()), scope, this)
        jobs[name] = job
        running[name] = peer
        scope.launch { peer.task.run() }.invokeOnCompletion { if (running[name] === peer) failure = failure ?: it }
        return peer
    }

    /** The process and its sockets vanish without a word. */
    fun kill(name: ProcessName) {
        running.remove(name)
        jobs.remove(name)?.cancel()
    }

    suspend fun request(from: LoopPeer, to: PeerEndpoint, timeout: Duration, build: BuildFrame): PeerAnswer {
        val frame = measured(build(CorrelationId(++correlations)))
        requests++
        val answer =
            withTimeoutOrNull(timeout) {
                delay(delay.random(random).milliseconds)
                val target = running.values.find { it.endpoint.value == to.value }
                if (target == null || isLost(from, target)) awaitCancellation()
                val reply = CompletableDeferred<PeerFrame?>()
                target.scope.launch { reply.complete(target.answers.answer(frame)) }
                val answer = reply.await()?.let(::measured)
                delay(delay.random(random).milliseconds)
                if (answer == null || isLost(from, target)) awaitCancellation()
                answer
            }
        return if (answer == null) PeerAnswer.NoAnswer("timeout") else PeerAnswer.Answered(answer)
    }

    private fun isLost(from: LoopPeer, to: LoopPeer) =
        side(from.name) != side(to.name) || (loss > 0 && random.nextDouble() < loss)

    /** Content that was asked for may be large; everything else stays within 1,200 bytes. */
    private fun measured(frame: PeerFrame): PeerFrame {
        val bytes =
            when (frame) {
                is PeerFrame.Ping -> frame.gossip
                is PeerFrame.Ack -> frame.gossip
                is PeerFrame.Gossip -> frame.gossip
                else -> return frame
            }
        val size = PeerFrameCodec.encode(frame).size
        val isContent = bytes.firstOrNull() in setOf<Byte>(1, 5, 7) && frame is PeerFrame.Gossip
        if (!isContent) largest = maxOf(largest, size)
        check(isContent || size <= 1_200) { "a frame of $size bytes" }
        return frame
    }

    companion object {
        val zone = AvailabilityZone("brisbane-a")
    }
}
