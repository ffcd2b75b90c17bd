package redwingcross.connection.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import redwingcross.request.AttemptId
import redwingcross.request.ProcessName

/** Matches an answer with its request on one connection. */
@Serializable
@JvmInline
value class CorrelationId(val value: Long)

/** One message between two processes of the system. Payloads are opaque here, so that decisions stay free of CBOR. */
@Serializable
sealed interface PeerFrame {
    val from: ProcessName
    val correlation: CorrelationId

    @Serializable
    @SerialName("ping")
    class Ping(override val from: ProcessName, override val correlation: CorrelationId, val gossip: ByteArray) :
        PeerFrame

    @Serializable
    @SerialName("ack")
    class Ack(
        override val from: ProcessName,
        override val correlation: CorrelationId,
        val gossip: ByteArray,
        val reached: Boolean = true,
    ) : PeerFrame

    /** Asks the receiver to probe [target] on behalf of the sender. */
    @Serializable
    @SerialName("ping-request")
    class PingRequest(override val from: ProcessName, override val correlation: CorrelationId, val target: String) :
        PeerFrame

    @Serializable
    @SerialName("gossip")
    class Gossip(override val from: ProcessName, override val correlation: CorrelationId, val gossip: ByteArray) :
        PeerFrame

    @Serializable
    @SerialName("control-request")
    class ControlRequest(override val from: ProcessName, override val correlation: CorrelationId) : PeerFrame

    /** [control] is a JSON document; an operator's command also sends it unasked to spread an accepted change. */
    @Serializable
    @SerialName("control-answer")
    class ControlAnswer(override val from: ProcessName, override val correlation: CorrelationId, val control: String) :
        PeerFrame

    @Serializable
    @SerialName("abandon-attempt")
    class AbandonAttempt(
        override val from: ProcessName,
        override val correlation: CorrelationId,
        val attempt: AttemptId,
    ) : PeerFrame

    /** [abandoned] is true only if no byte of the attempt was sent and none will be. */
    @Serializable
    @SerialName("abandon-answer")
    class AbandonAnswer(
        override val from: ProcessName,
        override val correlation: CorrelationId,
        val abandoned: Boolean,
    ) : PeerFrame

    @Serializable
    @SerialName("state-request")
    class StateRequest(override val from: ProcessName, override val correlation: CorrelationId) : PeerFrame

    @Serializable
    @SerialName("state-answer")
    class StateAnswer(override val from: ProcessName, override val correlation: CorrelationId, val state: String) :
        PeerFrame
}
