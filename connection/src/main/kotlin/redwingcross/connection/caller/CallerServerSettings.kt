package redwingcross.connection.caller

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Address and limits of the HTTP server for callers. */
data class CallerServerSettings(
    /** IP address to listen on. */
    val host: String,
    /** TCP port; 0 selects a free one. */
    val port: Int,
    /** Maximum size of a request body. */
    val maxBodyBytes: Long = 1_048_576,
    /** Maximum size of the request line and the headers together. */
    val maxHeaderBytes: Int = 32_768,
    val maxHeaders: Int = 100,
    val maxConnections: Int = 4096,
    val maxConnectionsPerAddress: Int = 512,
    val ioThreads: Int = 2,
    /** Maximum concurrent exchanges. Each occupies a worker thread until its response has been written. */
    val maxExchanges: Int = 256,
    /** Time after which a connection without a running request is closed. */
    val idleTimeout: Duration = 60.seconds,
    /** Maximum time from the first to the last byte of a request head, and likewise of a body. */
    val receiveTimeout: Duration = 30.seconds,
    /** Time without write progress after which a caller is disconnected, which releases the slot of its request. */
    val writeStallTimeout: Duration = 30.seconds,
    /** Maximum time that stopping waits for running exchanges. It exceeds the longest request, which takes 120 s. */
    val drainTimeout: Duration = 150.seconds,
)
