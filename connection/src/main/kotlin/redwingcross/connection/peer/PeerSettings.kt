package redwingcross.connection.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Address and port of a peer's listener, written `address:port`; IPv6 addresses stand in brackets. */
@JvmInline
value class PeerEndpoint(val value: String) {
    internal val host: String get() = value.substringBeforeLast(':').removeSurrounding("[", "]")

    /** Null when the text after the last colon is not a port number. */
    internal val port: Int? get() = value.substringAfterLast(':').toIntOrNull()?.takeIf { it in 0..MAXIMUM_PORT }

    override fun toString(): String = value

    private companion object {
        const val MAXIMUM_PORT = 65_535
    }
}

private const val MAXIMUM_FRAME_BYTES = 2_097_152

/** Bounds of the connections between processes. */
class PeerSettings(
    /** Largest encoded frame in bytes, without its length prefix. */
    val maximumFrameBytes: Int = MAXIMUM_FRAME_BYTES,
    /** Frames that wait in one connection: half for requests, half for gossip. */
    val mailboxFrames: Int = 64,
    /** A connection with an unanswered request that has received nothing for this long is replaced. */
    val silence: Duration = 3.seconds,
    val connectTimeout: Duration = 1.seconds,
    /** An outgoing connection without a request for this long is closed; an incoming one after twice this time. */
    val idle: Duration = 30.seconds,
    /** Further incoming connections are closed at once. */
    val incomingLimit: Int = 1024,
    /** The outgoing connection used least recently makes room for a new one. */
    val outgoingLimit: Int = 128,
)
