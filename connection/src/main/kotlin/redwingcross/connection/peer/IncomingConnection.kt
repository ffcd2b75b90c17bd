package redwingcross.connection.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import java.util.concurrent.Semaphore

/**
 * A connection opened by a peer: reads requests, passes them to [answer] and writes the answers.
 *
 * [place] is the address of the peer, used in findings.
 */
internal class IncomingConnection(
    private val place: String,
    private val settings: PeerSettings,
    private val answer: AnswerFrame,
) {
    private val answers = Channel<PeerFrame>(settings.mailboxFrames)

    /** Limits the requests in flight. Further frames of a peer that sends faster than they are answered are dropped. */
    private val permits = Semaphore(settings.mailboxFrames)

    /** Serves [socket] until the connection ends, then closes it and returns why it ended. */
    suspend fun run(socket: Socket): ConnectionEnd = socket.use {
        coroutineScope {
            val reading = Channel<ConnectionEnd>(1)
            val writing = Channel<ConnectionEnd>(1)
            launch { reading.send(readRequests(it.openReadChannel(), this@coroutineScope)) }
            launch { writing.send(writeAnswers(it.openWriteChannel())) }
            val end =
                select {
                    reading.onReceive { end -> end }
                    writing.onReceive { end -> end }
                }
            currentCoroutineContext().cancelChildren()
            end
        }
    }

    private suspend fun readRequests(channel: ByteReadChannel, handlers: CoroutineScope): ConnectionEnd {
        var offset = 0L
        while (true) {
            val reading =
                withTimeoutOrNull(settings.idleTimeout * 2) {
                    channel.readFrame(settings.maximumFrameBytes, place, offset)
                }
            when (reading) {
                null -> return ConnectionEnd.Idle
                FrameReading.Ended -> return ConnectionEnd.Closed
                is FrameReading.Malformed -> return ConnectionEnd.Malformed(reading.finding)
                is FrameReading.Read -> {
                    offset += reading.bytes
                    if (permits.tryAcquire()) handlers.launch { answerOne(reading.frame) }
                }
            }
        }
    }

    private suspend fun answerOne(frame: PeerFrame) {
        try {
            answer(frame)?.let { answers.trySend(it) }
        } finally {
            permits.release()
        }
    }

    private suspend fun writeAnswers(channel: ByteWriteChannel): ConnectionEnd {
        try {
            for (frame in answers) {
                val document = PeerFrameCodec.encode(frame)
                if (document.size > settings.maximumFrameBytes) continue
                withTimeoutOrNull(settings.inactivityTimeout) {
                    channel.writeFully(withLengthPrefix(document))
                    channel.flush()
                } ?: return ConnectionEnd.Silent(settings.inactivityTimeout)
            }
        } catch (_: IOException) {
            return ConnectionEnd.Closed
        }
        return ConnectionEnd.Closed
    }
}
