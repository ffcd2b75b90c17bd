package redwingcross.connection.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Address and port of a peer's listener, written `address:port`, with IPv6 addresses in brackets. */
@JvmInline
value class PeerEndpoint(val value: String) {
    internal val host: String get() = value.substringBeforeLast(':').removeSurrounding("[", "]")

    /** Null if the text after the last colon is not a valid port number. */
    internal val port: Int? get() = value.substringAfterLast(':').toIntOrNull()?.takeIf { it in 0..MAXIMUM_PORT }

    override fun toString(): String = value

    private companion object {
        const val MAXIMUM_PORT = 65_535
    }
}

private const val MAXIMUM_FRAME_BYTES = 2_097_152

/** Limits and timeouts of the connections between processes. */
class PeerSettings(
    /** Largest size of an encoded frame in bytes, without its length prefix. */
    val maximumFrameBytes: Int = MAXIMUM_FRAME_BYTES,
    /** Largest number of frames queued in one connection; of an outgoing one, half for requests and half for gossip. */
    val mailboxFrames: Int = 64,
    /**
     * An outgoing connection with an unanswered request that receives nothing for this long is closed; the next request
     * opens a new one. An incoming connection is closed if writing an answer takes this long.
     */
    val inactivityTimeout: Duration = 3.seconds,
    val connectTimeout: Duration = 1.seconds,
    /** An outgoing connection without requests is closed after this time, an incoming one after twice this time. */
    val idleTimeout: Duration = 30.seconds,
    /** Largest number of incoming connections; further ones are closed at once. */
    val incomingLimit: Int = 1024,
    /** Largest number of outgoing connections; the least recently used one is closed to open a new one. */
    val outgoingLimit: Int = 128,
)
