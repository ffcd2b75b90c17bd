package redwingcross.standins.http

import kotlinx.serialization.Serializable

/** Faults that a test sets with `PUT /standin/faults`; each such request replaces the whole set. */
@Serializable
data class Faults(
    /** Time from now during which no request is handled and no response sent, as in a paused process. */
    val freezeMillis: Long = 0,
    /** Number of requests whose connection is closed before they take effect. */
    val cutNext: Int = 0,
    /** Number of requests that take effect and whose connection is then closed without a response. */
    val loseAnswerNext: Int = 0,
    /** Delay of each response after the request took effect. */
    val lateMillis: Long = 0,
    /** Number of requests that have no effect and whose connection stays open without a response. */
    val silentNext: Int = 0,
    /** Whether all open connections stay open without any further response; new ones work. */
    val silenceOpen: Boolean = false,
    /** Number of responses that are swapped with the response to the next request. */
    val crossNext: Int = 0,
    /** Whether the connection of every request is closed before it takes effect, as in an outage. */
    val down: Boolean = false,
    /** Number of reads that return the state before the newest write. */
    val staleReads: Int = 0,
    /** Number of writes whose connection is closed at once and that take effect [delayedEffectMillis] later. */
    val delayWriteNext: Int = 0,
    val delayedEffectMillis: Long = 300,
)
