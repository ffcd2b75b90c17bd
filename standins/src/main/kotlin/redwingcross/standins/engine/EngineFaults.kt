package redwingcross.standins.engine

import kotlinx.serialization.Serializable

/**
 * Body of `PUT /standin/faults`; absent fields leave the present fault unchanged. The faults that count requests apply
 * to `POST` requests only, so that the periodic reports don't use them up.
 */
@Serializable
data class EngineFaults(
    /** Nothing is answered and no token is sent for this time from now. */
    val freezeMillis: Long? = null,
    /** So many of the next streams break off in the middle. */
    val cutNext: Int? = null,
    /** So many of the next requests are carried out, but their connection closes without an answer. */
    val loseAnswerNext: Int? = null,
    /** Each answer is delayed by this time. */
    val lateMillis: Long? = null,
    /** So many of the next connections stay open without any answer; the requests are not carried out. */
    val silentNext: Int? = null,
    /** So many of the next streams carry the answer of another request. */
    val crossNext: Int? = null,
    /** True closes every connection at once; false starts the engine anew with another boot id. */
    val down: Boolean? = null,
    /** True makes the engine as cold as after its start, with the same boot id. */
    val turnCold: Boolean? = null,
    /** Multiplies the time to the first token and between tokens. */
    val slowFactor: Double? = null,
)

/** What happens to one request because of a fault. */
internal enum class RequestFault { NONE, LOSE_ANSWER, SILENT, CUT, CROSS }
