package redwingcross.process.edge

import redwingcross.process.crash.CrashEvidence
import redwingcross.request.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callbacks of [CrashEvidenceRelay]. */
class CrashEvidenceDependencies(
    val evidence: () -> CrashEvidence,
    val isActiveController: () -> Boolean,
    /** Number of processes that may be running. */
    val fleetSize: () -> Int,
    /** Sends evidence to every other process. */
    val sendToAll: (CrashEvidence) -> Unit,
    /** Sends evidence to the active controller and to the processes next in line. */
    val sendToObservers: (CrashEvidence) -> Unit,
)

/**
 * Sends this process's evidence of ended engines to the others, and repeats it, because datagrams are lost. The active
 * controller also passes on what it receives, and goes on repeating the whole. Nothing is sent while there is no
 * evidence.
 */
class CrashEvidenceRelay(private val dependencies: CrashEvidenceDependencies, private val clock: MonotonicClock) {
    private var isChangePending = false
    private var repeatsLeft = 0
    private var lastSentAt = -Duration.INFINITE

    /** Called when this process has learned something by itself; sends it at once, or after the pause. */
    fun onOwnChange() {
        isChangePending = true
        sendIfDue()
    }

    /** Called when this process has learned something from another one. */
    fun onReceivedChange() {
        if (dependencies.isActiveController()) onOwnChange()
    }

    /** Sends what is due; called several times a second. */
    fun sendIfDue() {
        val now = clock.now()
        val isController = dependencies.isActiveController()
        val pause = when {
            isChangePending -> CHANGE_PAUSE
            repeatsLeft > 0 -> REPEAT_PAUSE
            isController -> CONTROLLER_REPEAT_PAUSE
            else -> return
        }
        val receivers = dependencies.fleetSize()
        val reachesAll = isController || receivers <= ServerSourceDecision.LARGEST_WATCHING_FLEET
        val shortestPause = if (reachesAll) PAUSE_PER_RECEIVER * receivers else Duration.ZERO
        if (now - lastSentAt < maxOf(pause, shortestPause)) return
        repeatsLeft = if (isChangePending) REPEATS else (repeatsLeft - 1).coerceAtLeast(0)
        isChangePending = false
        lastSentAt = now
        val evidence = dependencies.evidence()
        if (evidence.isEmpty) return
        if (reachesAll) dependencies.sendToAll(evidence) else dependencies.sendToObservers(evidence)
    }

    private companion object {
        /** Answers clear parts many times a second after a crash; a change goes out with those of this time. */
        val CHANGE_PAUSE = 100.milliseconds

        /** Messages of 6,500 bytes to all processes of a large fleet then take at most 52 Mbit/s. */
        val PAUSE_PER_RECEIVER = 1.milliseconds

        /** With a tenth of the datagrams lost, one process in 10,000 misses a change and its repeats. */
        const val REPEATS = 3
        val REPEAT_PAUSE = 250.milliseconds

        /** A process that missed a change and its repeats learns of it this much later than the others. */
        val CONTROLLER_REPEAT_PAUSE = 1.seconds
    }
}
