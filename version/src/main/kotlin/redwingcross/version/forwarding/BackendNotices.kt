package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import redwingcross.version.fleet.EngineStart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** What a back end states about itself in the head of a response, whatever the response is to. */
data class BackendNotice(
    /** Whether the back end is about to stop. */
    val isLeaving: Boolean,
    /** Time for which the back end, which turned a request away, wants no further one; null if it states none. */
    val pause: Duration?,
)

/**
 * The notices of back ends that this process has received. They need neither the store nor the active controller, so
 * they count also while the view of the fleet is old. Only a new start of the back end takes them back.
 */
class BackendNotices {
    private class Received(val start: EngineStart?, val at: Duration, val isLeaving: Boolean, val pausedUntil: Duration)

    private val received = HashMap<BackendServer, Received>()

    /** Records [notice] of the given start of [server]; returns whether the back end was not known to leave before. */
    fun record(server: BackendServer, start: EngineStart?, notice: BackendNotice, now: Duration): Boolean {
        if (!notice.isLeaving && notice.pause == null) return false
        val before = current(server, start)
        val pausedUntil = maxOf(before?.pausedUntil ?: Duration.ZERO, now + (notice.pause ?: Duration.ZERO))
        val wasLeaving = before?.isLeaving == true
        received[server] = Received(start, now, wasLeaving || notice.isLeaving, pausedUntil)
        return notice.isLeaving && !wasLeaving
    }

    /** Whether the given start of [server] has stated that it leaves. */
    fun isLeaving(server: BackendServer, start: EngineStart?): Boolean = current(server, start)?.isLeaving == true

    /** Time until which the given start of [server] wants no requests; zero if it never asked for a pause. */
    fun pausedUntil(server: BackendServer, start: EngineStart?): Duration =
        current(server, start)?.pausedUntil ?: Duration.ZERO

    // An unknown start counts as the same one.
    private fun current(server: BackendServer, start: EngineStart?): Received? =
        received[server]?.takeIf { it.start == null || start == null || it.start == start }

    /** Forgets notices of back ends that have ended long ago. */
    fun expire(now: Duration) {
        received.values.removeAll { now - it.at >= KEPT && now >= it.pausedUntil }
    }

    private companion object {
        /** Longer than any back end goes on after it announced that it leaves. */
        val KEPT = 10.minutes
    }
}
