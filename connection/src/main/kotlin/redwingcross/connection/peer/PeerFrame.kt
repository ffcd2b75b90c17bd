package redwingcross.connection.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import redwingcross.request.AttemptId
import redwingcross.request.ProcessName

/** Id that an answer shares with its request; unique per connection. */
@Serializable
@JvmInline
value class CorrelationId(val value: Long)

/**
 * One message between two processes of the system, encoded as CBOR by [PeerFrameCodec].
 *
 * Payloads such as `gossip` and `state` are opaque here, so that the code that handles them does not depend on CBOR.
 */
@Serializable
sealed interface PeerFrame {
    /** Name of the process that sent this frame. */
    val from: ProcessName
    val correlation: CorrelationId

    /** Probes whether the receiver is alive; [gossip] is the membership data of the sender. */
    @Serializable
    @SerialName("ping")
    class Ping(override val from: ProcessName, override val correlation: CorrelationId, val gossip: ByteArray) :
        PeerFrame

    /** Answers a [Ping] or a [PingRequest]; [reached] is false if the target of a [PingRequest] did not answer. */
    @Serializable
    @SerialName("ack")
    class Ack(
        override val from: ProcessName,
        override val correlation: CorrelationId,
        val gossip: ByteArray,
        val reached: Boolean = true,
    ) : PeerFrame

    /** Requests the receiver to probe [target] on behalf of the sender. */
    @Serializable
    @SerialName("ping-request")
    class PingRequest(override val from: ProcessName, override val correlation: CorrelationId, val target: String) :
        PeerFrame

    /** Exchanges membership data; the same type is used for the request and its answer. */
    @Serializable
    @SerialName("gossip")
    class Gossip(override val from: ProcessName, override val correlation: CorrelationId, val gossip: ByteArray) :
        PeerFrame

    /** Requests the control document of the receiver. */
    @Serializable
    @SerialName("control-request")
    class ControlRequest(override val from: ProcessName, override val correlation: CorrelationId) : PeerFrame

    /**
     * [control] is a JSON document. An operator's command also sends it unrequested, to distribute an accepted change.
     */
    @Serializable
    @SerialName("control-answer")
    class ControlAnswer(override val from: ProcessName, override val correlation: CorrelationId, val control: String) :
        PeerFrame

    /** Requests the gateway that owns [attempt] to abandon it. */
    @Serializable
    @SerialName("abandon-attempt")
    class AbandonAttempt(
        override val from: ProcessName,
        override val correlation: CorrelationId,
        val attempt: AttemptId,
    ) : PeerFrame

    /** Answers [AbandonAttempt]; [abandoned] is true only if no byte of the attempt was sent and none will be. */
    @Serializable
    @SerialName("abandon-answer")
    class AbandonAnswer(
        override val from: ProcessName,
        override val correlation: CorrelationId,
        val abandoned: Boolean,
    ) : PeerFrame

    /** Requests the state that the receiver reports to operators. */
    @Serializable
    @SerialName("state-request")
    class StateRequest(override val from: ProcessName, override val correlation: CorrelationId) : PeerFrame

    /** Answers [StateRequest]; [state] is a JSON document. */
    @Serializable
    @SerialName("state-answer")
    class StateAnswer(override val from: ProcessName, override val correlation: CorrelationId, val state: String) :
        PeerFrame
}
