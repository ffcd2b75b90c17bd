package redwingcross.process.edge

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Report of a gateway to the active controller that all its streams at a group are silent, or, with no streams, that
 * the group makes progress again.
 */
@Serializable
@SerialName("stall")
data class StallEvidence(
    override val sender: GatewayRecord,
    val group: String,
    /** Number of the sender's silent streams at the group; 0 if one of them has received an event again. */
    val streams: Int = 0,
    /** How long all of them have been silent. */
    val silentMillis: Long = 0,
) : PeerMessage

/** The groups that make no progress, sent by the active controller to all processes on a change and repeatedly. */
@Serializable
@SerialName("stalled")
data class StalledGroups(
    override val sender: GatewayRecord,
    /** Epoch of the lease under which the controller sent the message. */
    val leaseEpoch: Long,
    /** Orders the messages of one epoch. */
    val sequence: Long,
    /** All groups that make no progress at present. */
    val stalled: List<String> = emptyList(),
    /** Groups that make progress again since the last message. */
    val resumed: List<String> = emptyList(),
) : PeerMessage
