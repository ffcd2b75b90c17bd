package redwingcross.standins.http

import kotlinx.serialization.Serializable

/** Faults that a test asks for with `PUT /standin/faults`; each request replaces the whole set. */
@Serializable
data class Faults(
    /** No request is handled and no answer sent for this time after the order, as in a paused process. */
    val freezeMillis: Long = 0,
    /** Number of requests whose connection is closed before they take effect. */
    val cutNext: Int = 0,
    /** Number of requests that take effect and whose connection is then closed. */
    val loseAnswerNext: Int = 0,
    /** Time by which each answer is held back after the request took effect. */
    val lateMillis: Long = 0,
    /** Number of requests that are swallowed and whose connection stays open without another byte. */
    val silentNext: Int = 0,
    /** Connections that are open now go silent for good; new ones work. */
    val silenceOpen: Boolean = false,
    /** Number of answers that are exchanged with the answer of the request that follows. */
    val crossNext: Int = 0,
    /** Every request is cut before it takes effect, as in an outage. */
    val down: Boolean = false,
    /** Number of reads that answer with the state before the newest write. */
    val staleReads: Int = 0,
    /** Number of writes whose connection is cut at once and that take effect [delayedEffectMillis] later. */
    val delayWriteNext: Int = 0,
    val delayedEffectMillis: Long = 300,
)
