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

/**
 * Connections to and from the other processes of the system.
 *
 * [run] serves the outgoing connections, [listen] the incoming ones; each uses one selector thread. [report] is called
 * when a connection ends.
 */
class PeerNetwork(
    private val settings: PeerSettings = PeerSettings(),
    private val clock: MonotonicClock = MonotonicClock.system,
    private val report: ReportConnectionEnd = ::logConnectionEnd,
) {
    private sealed interface PoolMessage {
        class Acquire(val endpoint: PeerEndpoint, val connection: CompletableDeferred<OutgoingConnection>) : PoolMessage

        class Ended(val endpoint: PeerEndpoint, val connection: OutgoingConnection) : PoolMessage
    }

    private val mailbox = Channel<PoolMessage>(POOL_MAILBOX_CAPACITY)

    /** Serves outgoing connections until cancelled. Requests made earlier are queued until then. */
    suspend fun run() {
        withSelector { selector ->
            supervisorScope { OutgoingPool(this) { openSocket(selector, it) }.run() }
        }
    }

    /** Sends the frame that [build] returns to [endpoint] and waits at most [timeout] for its answer. */
    suspend fun request(endpoint: PeerEndpoint, timeout: Duration, build: BuildFrame): PeerAnswer {
        if (endpoint.port == null) return PeerAnswer.Refused("invalid port in endpoint $endpoint")
        val acquired = CompletableDeferred<OutgoingConnection>()
        if (mailbox.trySend(PoolMessage.Acquire(endpoint, acquired)).isFailure) {
            return PeerAnswer.Refused("connection pool mailbox full")
        }
        return acquired.await().request(timeout, build)
    }

    /**
     * Listens on [endpoint] until cancelled and passes each received frame to [answer].
     *
     * [bound] is called with the endpoint in use, in which port 0 is replaced by the assigned port. Throws
     * [IOException] if the endpoint can't be bound.
     */
    suspend fun listen(endpoint: PeerEndpoint, answer: AnswerFrame, bound: (PeerEndpoint) -> Unit = {}) {
        val port = endpoint.port ?: throw IOException("invalid port in endpoint $endpoint")
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
        /** Ordered from the least to the most recently used. */
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
        const val POOL_MAILBOX_CAPACITY = 256
    }
}

/** Runs [block] with a selector that has a single dedicated thread, so that the number of selector threads is fixed. */
private suspend fun withSelector(block: suspend (SelectorManager) -> Unit) {
    val thread = Executors.newSingleThreadExecutor { Thread(it, "peer-selector").apply { isDaemon = true } }
    thread.asCoroutineDispatcher().use { dispatcher ->
        SelectorManager(dispatcher).use { block(it) }
    }
}

private val logger = KotlinLogging.logger {}

/** Logs the end of a connection: as a warning if an operator may have to act on it, otherwise as info or debug. */
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
