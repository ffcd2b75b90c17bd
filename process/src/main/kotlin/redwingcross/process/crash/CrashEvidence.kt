@file:OptIn(ExperimentalSerializationApi::class)

package redwingcross.process.crash

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

// The classes are CBOR arrays, because field names would take more than half of a message of small crashes. The order
// of the properties is the wire format.

/**
 * What a process tells others of its [CrashLedger]. Requests and clearings name traits by their index in [traits],
 * because the same traits recur. Ages are those at the time of sending. An array has no field names to tell which
 * properties are left out, so defaults are encoded too.
 *
 * @throws IllegalArgumentException if an index, an age or a count is out of range.
 */
@Serializable
@CborArray
data class CrashEvidence(
    @EncodeDefault
    val traits: List<String> = emptyList(),
    @EncodeDefault
    val crashes: List<CrashReport> = emptyList(),
    @EncodeDefault
    val lifts: List<LiftReport> = emptyList(),
) {
    /** Whether there is nothing to send. */
    val isEmpty: Boolean get() = crashes.isEmpty() && lifts.isEmpty()

    init {
        require(crashes.size <= CrashLimits.CRASHES) { "${crashes.size} crashes, at most ${CrashLimits.CRASHES}" }
        require(lifts.size <= CrashLimits.LIFTS) { "${lifts.size} lifts, at most ${CrashLimits.LIFTS}" }
        crashes.forEach { report ->
            require(report.ageMillis >= 0) { "crash of ${report.engine} has age ${report.ageMillis} ms" }
            require(report.requests.size <= CrashLimits.REQUESTS_PER_CRASH) {
                "crash of ${report.engine} has ${report.requests.size} requests"
            }
            val indices = report.cleared + report.requests.flatMap { it.traits }
            require(indices.all { it in traits.indices }) { "crash of ${report.engine} names an unknown trait" }
        }
        lifts.forEach { require(it.ageMillis >= 0) { "lift of ${it.trait} has age ${it.ageMillis} ms" } }
    }
}

/** A crash in [CrashEvidence]. [startUnixMillis] is null if the start of the engine is unknown. */
@Serializable
@CborArray
data class CrashReport(
    val engine: String,
    val startUnixMillis: Long?,
    val ageMillis: Long,
    val requests: List<RequestReport>,
    val cleared: List<Int>,
)

/** A suspect request in a [CrashReport]; [traits] are indices. */
@Serializable
@CborArray
data class RequestReport(val attempt: String, val traits: List<Int>)

/** A [Lift] in [CrashEvidence]. */
@Serializable
@CborArray
data class LiftReport(val trait: String, val number: Int, val ageMillis: Long)
