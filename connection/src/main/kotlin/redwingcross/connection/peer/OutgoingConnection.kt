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

/** Opens a socket to a peer; throws [IOException] if the connection can't be established. */
internal typealias OpenSocket = suspend (PeerEndpoint) -> Socket

/**
 * A connection opened by this process to the peer at [endpoint].
 *
 * Only the process that opened a connection sends requests on it, and the other process sends only answers. A frame
 * type that is used both as a request and as an answer is therefore never ambiguous.
 *
 * The coroutine that runs [run] owns the socket and the table of unanswered requests; other coroutines pass requests to
 * it through the mailboxes.
 */
internal class OutgoingConnection(
    private val endpoint: PeerEndpoint,
    private val settings: PeerSettings,
    private val clock: MonotonicClock,
    private val report: ReportConnectionEnd,
) {
    private class PendingRequest(val frame: PeerFrame, val deadline: Duration) {
        var sentAt = Duration.ZERO
        val answer = CompletableDeferred<PeerAnswer>()
    }

    private val correlations = AtomicLong()
    private val requests = Channel<PendingRequest>(settings.mailboxFrames / 2) { refuse(it, "connection closed") }
    private val gossip =
        Channel<PendingRequest>(settings.mailboxFrames / 2, BufferOverflow.DROP_OLDEST) {
            refuse(it, "newer gossip queued")
        }

    /** Requests that were sent and not answered, in the order of sending. */
    private val unanswered = LinkedHashMap<CorrelationId, PendingRequest>()
    private var lastProgress = Duration.ZERO
    private var writing = false

    /** Once true, this connection accepts no more requests; they must be sent on a new one. */
    @Volatile
    var isEnding = false
        private set

    /** Sends the frame that [build] returns and suspends for at most [timeout] until its answer is received. */
    suspend fun request(timeout: Duration, build: BuildFrame): PeerAnswer {
        val pending = PendingRequest(build(CorrelationId(correlations.incrementAndGet())), clock.now() + timeout)
        val mailbox = if (pending.frame is PeerFrame.Gossip) gossip else requests
        val accepted = mailbox.trySend(pending)
        if (accepted.isClosed) return PeerAnswer.Refused("connection closed")
        if (accepted.isFailure) return PeerAnswer.Refused("mailbox full")
        // Also ends a request that is still queued because the connection is stuck; it isn't sent after its deadline.
        return withTimeoutOrNull(timeout) { pending.answer.await() } ?: PeerAnswer.NoAnswer("timeout")
    }

    /** Opens the socket and serves it until it fails or one of its timeouts expires. */
    suspend fun run(open: OpenSocket) {
        var end: ConnectionEnd = ConnectionEnd.Closed
        try {
            val socket = withTimeoutOrNull(settings.connectTimeout) { open(endpoint) }
            end = if (socket == null) ConnectionEnd.ConnectFailed("connect timeout") else socket.use { serve(it) }
        } catch (failure: IOException) {
            end = ConnectionEnd.ConnectFailed(failure.message.orEmpty())
        } catch (_: UnresolvedAddressException) {
            end = ConnectionEnd.ConnectFailed("host is not an IP address")
        } finally {
            completeAll(end)
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
                    onTimeout(TIMEOUT_CHECK_INTERVAL) { null }
                } ?: checkTimeouts()
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

    private fun send(pending: PendingRequest, toWrite: Channel<ByteArray>): ConnectionEnd? {
        if (pending.deadline <= clock.now()) return refuse(pending, "timed out before it was sent")
        val document = PeerFrameCodec.encode(pending.frame)
        if (document.size > settings.maximumFrameBytes) return refuse(pending, "too large: ${document.size} bytes")
        pending.sentAt = clock.now()
        unanswered[pending.frame.correlation] = pending
        writing = toWrite.trySend(withLengthPrefix(document)).isSuccess
        return null
    }

    private fun refuse(pending: PendingRequest, detail: String): ConnectionEnd? {
        pending.answer.complete(PeerAnswer.Refused(detail))
        return null
    }

    /** Completes requests whose deadline has passed; returns the end of the connection if it is silent or idle. */
    private fun checkTimeouts(): ConnectionEnd? {
        val now = clock.now()
        unanswered.values.filter { it.deadline <= now }.forEach { it.answer.complete(PeerAnswer.NoAnswer("timeout")) }
        // An expired request is removed only if the peer has sent something since it was sent. Otherwise request
        // timeouts shorter than the inactivity timeout would hide a dead connection.
        unanswered.values.removeIf { it.deadline <= now && it.sentAt < lastProgress }
        val oldest = unanswered.values.firstOrNull()
        val silentSince = maxOf(lastProgress, oldest?.sentAt ?: lastProgress)
        return when {
            oldest != null && now - silentSince >= settings.inactivityTimeout -> ConnectionEnd.Silent(now - silentSince)
            oldest == null && now - silentSince >= settings.idleTimeout -> ConnectionEnd.Idle
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

    private fun completeAll(end: ConnectionEnd) {
        isEnding = true
        report(endpoint.value, end)
        unanswered.values.forEach { it.answer.complete(PeerAnswer.NoAnswer(end.toString())) }
        requests.cancel()
        gossip.cancel()
    }

    private companion object {
        val TIMEOUT_CHECK_INTERVAL = 100.milliseconds
    }
}

/** Why a connection ended. */
sealed interface ConnectionEnd {
    /** The connection was closed by one of the processes, or its socket failed. */
    data object Closed : ConnectionEnd

    /** The connection had no requests for too long; see [PeerSettings.idleTimeout]. */
    data object Idle : ConnectionEnd

    /** An incoming connection was closed because [PeerSettings.incomingLimit] was reached. */
    data object LimitReached : ConnectionEnd

    /** For [since], nothing was received although a request was unanswered, or an answer could not be written. */
    data class Silent(val since: Duration) : ConnectionEnd

    /** The connection could not be opened, or failed while it was open. */
    data class ConnectFailed(val detail: String) : ConnectionEnd

    /** The peer sent an invalid frame; [finding] contains its position. */
    data class Malformed(val finding: Finding) : ConnectionEnd
}

/** Called with the address of the peer and the reason when a connection ends. */
typealias ReportConnectionEnd = (String, ConnectionEnd) -> Unit
