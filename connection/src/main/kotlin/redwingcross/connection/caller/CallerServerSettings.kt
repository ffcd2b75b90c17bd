package redwingcross.connection.caller

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Address and limits of the listener for callers. */
data class CallerServerSettings(
    /** IP address to listen on. */
    val host: String,
    /** 0 picks a free port. */
    val port: Int,
    val maxBodyBytes: Long = 1_048_576,
    /** Request line and headers together. */
    val maxHeaderBytes: Int = 32_768,
    val maxHeaders: Int = 100,
    val maxConnections: Int = 4096,
    val maxConnectionsPerAddress: Int = 512,
    val ioThreads: Int = 2,
    /** Exchanges that run at the same time; each keeps one worker thread until its answer has been written. */
    val maxExchanges: Int = 256,
    /** Time after which a connection without a request is closed. */
    val idleTimeout: Duration = 60.seconds,
    /** Time for the head of a request, and again for its body, from the first byte to the last. */
    val receiveTimeout: Duration = 30.seconds,
    /** A caller that takes nothing for this long is disconnected, which frees its group's slot. */
    val writeStall: Duration = 30.seconds,
    /** Time that a stop waits for running exchanges; the longest request takes 120 s. */
    val drainTimeout: Duration = 150.seconds,
)
