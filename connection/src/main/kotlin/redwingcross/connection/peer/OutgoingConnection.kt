package redwingcross.connection.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import redwingcross.request.Finding
import redwingcross.request.MonotonicClock
import java.nio.channels.UnresolvedAddressException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Opens a socket to a peer; throws [IOException] when that fails. */
internal typealias OpenSocket = suspend (PeerEndpoint) -> Socket

/**
 * A connection opened by this process. Requests flow only from the opener and answers only back, so a frame type that
 * is both a request and an answer is never ambiguous.
 *
 * The coroutine in [run] owns the socket and the table of unanswered requests; others reach it through the mailboxes.
 */
internal class OutgoingConnection(
    private val endpoint: PeerEndpoint,
    private val settings: PeerSettings,
    private val clock: MonotonicClock,
    private val report: ReportConnection,
) {
    private class Waiting(val frame: PeerFrame, val deadline: Duration) {
        var sentAt = Duration.ZERO
        val answer = CompletableDeferred<PeerAnswer>()
    }

    private val correlations = AtomicLong()
    private val requests = Channel<Waiting>(settings.mailboxFrames / 2) { refuse(it, "connection closed") }
    private val gossip =
        Channel<Waiting>(settings.mailboxFrames / 2, BufferOverflow.DROP_OLDEST) { refuse(it, "newer gossip queued") }

    /** Unanswered requests in the order in which they were sent. */
    private val unanswered = LinkedHashMap<CorrelationId, Waiting>()
    private var lastProgress = Duration.ZERO
    private var writing = false

    /** Once true, requests must go to a new connection. */
    @Volatile
    var isEnding = false
        private set

    suspend fun request(timeout: Duration, build: BuildFrame): PeerAnswer {
        val waiting = Waiting(build(CorrelationId(correlations.incrementAndGet())), clock.now() + timeout)
        val mailbox = if (waiting.frame is PeerFrame.Gossip) gossip else requests
        val accepted = mailbox.trySend(waiting)
        if (accepted.isClosed) return PeerAnswer.Refused("connection closed")
        if (accepted.isFailure) return PeerAnswer.Refused("mailbox full")
        // A request that still waits in the mailbox of a stuck connection ends here; it isn't sent after its deadline.
        return withTimeoutOrNull(timeout) { waiting.answer.await() } ?: PeerAnswer.NoAnswer("timeout")
    }

    /** Opens the socket and serves it until it fails, falls silent or idles. */
    suspend fun run(open: OpenSocket) {
        var end: ConnectionEnd = ConnectionEnd.Closed
        try {
            val socket = withTimeoutOrNull(settings.connectTimeout) { open(endpoint) }
            end = if (socket == null) ConnectionEnd.ConnectFailed("connect timeout") else socket.use { serve(it) }
        } catch (failure: IOException) {
            end = ConnectionEnd.ConnectFailed(failure.message.orEmpty())
        } catch (_: UnresolvedAddressException) {
            end = ConnectionEnd.ConnectFailed("not an IP address")
        } finally {
            release(end)
        }
    }

    private suspend fun serve(socket: Socket): ConnectionEnd = coroutineScope {
        val toWrite = Channel<ByteArray>(1)
        val written = Channel<Unit>(1)
        val received = Channel<FrameReading>()
        launch { readFrames(socket.openReadChannel(), received) }
        launch { writeFrames(socket.openWriteChannel(), toWrite, written) }
        lastProgress = clock.now()
        val end = exchange(toWrite, written, received)
        currentCoroutineContext().cancelChildren()
        end
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun exchange(
        toWrite: Channel<ByteArray>,
        written: Channel<Unit>,
        received: Channel<FrameReading>,
    ): ConnectionEnd {
        var end: ConnectionEnd? = null
        while (end == null) {
            end =
                select {
                    received.onReceive { accept(it) }
                    written.onReceiveCatching { result ->
                        writing = false
                        if (result.isClosed) ConnectionEnd.Closed else null
                    }
                    if (!writing && unanswered.size < settings.mailboxFrames) {
                        requests.onReceive { send(it, toWrite) }
                        gossip.onReceive { send(it, toWrite) }
                    }
                    onTimeout(CHECK_INTERVAL) { null }
                } ?: check()
        }
        return end
    }

    private fun accept(reading: FrameReading): ConnectionEnd? = when (reading) {
        is FrameReading.Read -> {
            lastProgress = clock.now()
            unanswered.remove(reading.frame.correlation)?.answer?.complete(PeerAnswer.Answered(reading.frame))
            null
        }

        is FrameReading.Malformed -> ConnectionEnd.Malformed(reading.finding)

        FrameReading.Ended -> ConnectionEnd.Closed
    }

    private fun send(waiting: Waiting, toWrite: Channel<ByteArray>): ConnectionEnd? {
        if (waiting.deadline <= clock.now()) return refuse(waiting, "timeout before sending")
        val document = PeerFrameCodec.encode(waiting.frame)
        if (document.size > settings.maximumFrameBytes) return refuse(waiting, "frame of ${document.size} bytes")
        waiting.sentAt = clock.now()
        unanswered[waiting.frame.correlation] = waiting
        writing = toWrite.trySend(withLength(document)).isSuccess
        return null
    }

    private fun refuse(waiting: Waiting, detail: String): ConnectionEnd? {
        waiting.answer.complete(PeerAnswer.Refused(detail))
        return null
    }

    /** Ends requests that waited too long, and the connection itself when it is silent or idle. */
    private fun check(): ConnectionEnd? {
        val now = clock.now()
        unanswered.values.filter { it.deadline <= now }.forEach { it.answer.complete(PeerAnswer.NoAnswer("timeout")) }
        // An expired request is forgotten only if the peer sent something since. Otherwise request timeouts shorter
        // than the silence would hide a dead connection.
        unanswered.values.removeIf { it.deadline <= now && it.sentAt < lastProgress }
        val oldest = unanswered.values.firstOrNull()
        val quietSince = maxOf(lastProgress, oldest?.sentAt ?: lastProgress)
        return when {
            oldest != null && now - quietSince >= settings.silence -> ConnectionEnd.Silent(now - quietSince)
            oldest == null && now - quietSince >= settings.idle -> ConnectionEnd.Idle
            else -> null
        }
    }

    private suspend fun readFrames(channel: ByteReadChannel, received: Channel<FrameReading>) {
        var offset = 0L
        while (true) {
            val reading = channel.readFrame(settings.maximumFrameBytes, endpoint.value, offset)
            received.send(reading)
            if (reading !is FrameReading.Read) return
            offset += reading.bytes
        }
    }

    private suspend fun writeFrames(channel: ByteWriteChannel, toWrite: Channel<ByteArray>, written: Channel<Unit>) {
        try {
            for (bytes in toWrite) {
                channel.writeFully(bytes)
                channel.flush()
                written.send(Unit)
            }
        } catch (_: IOException) {
            written.close()
        }
    }

    private fun release(end: ConnectionEnd) {
        isEnding = true
        report(endpoint.value, end)
        unanswered.values.forEach { it.answer.complete(PeerAnswer.NoAnswer(end.toString())) }
        requests.cancel()
        gossip.cancel()
    }

    private companion object {
        val CHECK_INTERVAL = 100.milliseconds
    }
}

/** Why a connection ended. */
sealed interface ConnectionEnd {
    data object Closed : ConnectionEnd

    data object Idle : ConnectionEnd

    /** The incoming limit was reached. */
    data object LimitReached : ConnectionEnd

    data class Silent(val since: Duration) : ConnectionEnd

    data class ConnectFailed(val detail: String) : ConnectionEnd

    /** The peer sent something that is not a frame, at the place of [finding]. */
    data class Malformed(val finding: Finding) : ConnectionEnd
}

/** Receives the peer's address and why its connection ended. */
typealias ReportConnection = (String, ConnectionEnd) -> Unit
