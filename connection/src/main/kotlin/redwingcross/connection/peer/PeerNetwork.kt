package redwingcross.connection.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.io.IOException
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** Sockets to and from the other processes. One selector thread serves all of them. */
class PeerNetwork(
    private val settings: PeerSettings = PeerSettings(),
    private val clock: MonotonicClock = MonotonicClock.system,
    private val report: ReportConnection = ::logConnectionEnd,
) {
    private sealed interface PoolMessage {
        class Acquire(val endpoint: PeerEndpoint, val connection: CompletableDeferred<OutgoingConnection>) : PoolMessage

        class Ended(val endpoint: PeerEndpoint, val connection: OutgoingConnection) : PoolMessage
    }

    private val mailbox = Channel<PoolMessage>(POOL_MAILBOX)

    /** Serves outgoing connections until cancelled. Requests wait until it runs. */
    suspend fun run() {
        withSelector { selector ->
            supervisorScope { OutgoingPool(this) { openSocket(selector, it) }.run() }
        }
    }

    /** Sends the frame that [build] returns and waits at most [timeout] for its answer. */
    suspend fun request(endpoint: PeerEndpoint, timeout: Duration, build: BuildFrame): PeerAnswer {
        if (endpoint.port == null) return PeerAnswer.Refused("not an endpoint: $endpoint")
        val acquired = CompletableDeferred<OutgoingConnection>()
        if (mailbox.trySend(PoolMessage.Acquire(endpoint, acquired)).isFailure) {
            return PeerAnswer.Refused("connection pool busy")
        }
        return acquired.await().request(timeout, build)
    }

    /**
     * Listens on [endpoint] until cancelled and answers frames with [answer]. [bound] receives the listener's endpoint,
     * in which port 0 is replaced with the port in use. Throws [IOException] when the endpoint can't be bound.
     */
    suspend fun listen(endpoint: PeerEndpoint, answer: AnswerFrame, bound: (PeerEndpoint) -> Unit = {}) {
        val port = endpoint.port ?: throw IOException("not an endpoint: $endpoint")
        withSelector { selector ->
            aSocket(selector).tcp().bind(endpoint.host, port) { reuseAddress = true }.use { server ->
                val local = server.localAddress as InetSocketAddress
                bound(PeerEndpoint("${endpoint.value.substringBeforeLast(':')}:${local.port}"))
                acceptConnections(server, answer)
            }
        }
    }

    private suspend fun acceptConnections(server: ServerSocket, answer: AnswerFrame) = supervisorScope {
        val open = AtomicInteger()
        while (true) {
            val socket = server.accept()
            val place = socket.remoteAddress.toString()
            if (open.get() >= settings.incomingLimit) {
                socket.close()
                report(place, ConnectionEnd.LimitReached)
            } else {
                open.incrementAndGet()
                launch {
                    try {
                        report(place, IncomingConnection(place, settings, answer).run(socket))
                    } finally {
                        open.decrementAndGet()
                    }
                }
            }
        }
    }

    private suspend fun openSocket(selector: SelectorManager, endpoint: PeerEndpoint): Socket =
        aSocket(selector).tcp().connect(endpoint.host, requireNotNull(endpoint.port)) { noDelay = true }

    private inner class OutgoingPool(private val scope: CoroutineScope, private val open: OpenSocket) {
        /** In the order of last use. */
        private val connections = LinkedHashMap<PeerEndpoint, RunningConnection>()

        suspend fun run() {
            for (message in mailbox) {
                when (message) {
                    is PoolMessage.Acquire -> message.connection.complete(acquire(message.endpoint))
                    is PoolMessage.Ended ->
                        if (connections[message.endpoint]?.connection === message.connection) {
                            connections.remove(message.endpoint)
                        }
                }
            }
        }

        private fun acquire(endpoint: PeerEndpoint): OutgoingConnection {
            val running = connections.remove(endpoint)?.takeIf { it.isOpen } ?: start(endpoint)
            connections[endpoint] = running
            return running.connection
        }

        private fun start(endpoint: PeerEndpoint): RunningConnection {
            if (connections.size >= settings.outgoingLimit) {
                val oldest = connections.keys.first()
                connections.remove(oldest)?.job?.cancel()
            }
            val connection = OutgoingConnection(endpoint, settings, clock, report)
            val job =
                scope.launch {
                    connection.run(open)
                    mailbox.send(PoolMessage.Ended(endpoint, connection))
                }
            return RunningConnection(connection, job)
        }
    }

    private class RunningConnection(val connection: OutgoingConnection, val job: Job) {
        val isOpen get() = job.isActive && !connection.isEnding
    }

    private companion object {
        const val POOL_MAILBOX = 256
    }
}

/** Runs [block] with a selector on one thread of its own, so that the number of selector threads is fixed. */
private suspend fun withSelector(block: suspend (SelectorManager) -> Unit) {
    val thread = Executors.newSingleThreadExecutor { Thread(it, "peer-selector").apply { isDaemon = true } }
    thread.asCoroutineDispatcher().use { dispatcher ->
        SelectorManager(dispatcher).use { block(it) }
    }
}

private val logger = KotlinLogging.logger {}

/** Logs ends that an operator may have to act on as warnings, the others for debugging. */
internal fun logConnectionEnd(peer: String, end: ConnectionEnd) = when (end) {
    is ConnectionEnd.Malformed ->
        logger.warn { eventLine("peer_frame_malformed", "peer" to peer, "finding" to end.finding) }
    is ConnectionEnd.Silent -> logger.info {
        eventLine(
            "peer_connection_silent",
            "peer" to peer,
            "silentFor" to end.since,
        )
    }
    ConnectionEnd.LimitReached -> logger.warn { eventLine("peer_connection_limit", "peer" to peer) }
    else -> logger.debug { eventLine("peer_connection_ended", "peer" to peer, "reason" to end) }
}
