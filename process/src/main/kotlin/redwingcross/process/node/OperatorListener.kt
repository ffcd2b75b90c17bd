package redwingcross.process.node

import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import redwingcross.connection.caller.CallerServer
import redwingcross.connection.caller.CallerServerSettings
import redwingcross.process.metrics.ProcessMetrics
import redwingcross.process.operator.ReadReadiness
import redwingcross.process.operator.operatorHandler
import redwingcross.process.state.StateDump

/** The HTTP listener for operators, with limits for a few operators and one metrics scraper. */
class OperatorListener(
    private val endpoint: String,
    private val readiness: ReadReadiness,
    private val dump: StateDump,
    private val metrics: ProcessMetrics,
) {
    /** Opens the port; throws [java.net.BindException] if it is in use. */
    fun start(): Http4kServer = operatorHandler(readiness, dump, metrics).asServer(
        CallerServer(
            CallerServerSettings(
                host = endpoint.substringBeforeLast(':'),
                port = endpoint.substringAfterLast(':').toInt(),
                maxBodyBytes = MAXIMUM_BODY_BYTES,
                maxConnections = MAXIMUM_CONNECTIONS,
                maxConnectionsPerAddress = MAXIMUM_CONNECTIONS,
                ioThreads = 1,
                maxExchanges = MAXIMUM_EXCHANGES,
                drainTimeout = kotlin.time.Duration.ZERO,
            ),
        ),
    ).start()

    private companion object {
        const val MAXIMUM_BODY_BYTES = 1_024L
        const val MAXIMUM_CONNECTIONS = 64
        const val MAXIMUM_EXCHANGES = 8
    }
}
