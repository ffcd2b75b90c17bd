package redwingcross.connection.http

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.socket.DuplexChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the time and of the bytes for which a connection is read after its last response.
 *
 * [startedAt] is the clock reading at which the response was written, null while some of it is not.
 */
internal data class LingerState(
    val startedAt: Duration? = null,
    val lastReceivedAt: Duration? = null,
    val receivedBytes: Long = 0,
) {
    fun received(bytes: Int, now: Duration) = copy(lastReceivedAt = now, receivedBytes = receivedBytes + bytes)

    /** Whether the connection is to be closed without waiting for the caller any longer. */
    fun isOver(now: Duration): Boolean {
        val start = startedAt ?: return isFull
        val silentSince = maxOf(start, lastReceivedAt ?: start)
        return isFull || now - start > LingeringClose.MAXIMUM_TIME || now - silentSince > LingeringClose.MAXIMUM_SILENCE
    }

    private val isFull: Boolean get() = receivedBytes > LingeringClose.MAXIMUM_BYTES
}

/**
 * Closes a connection after its last response as RFC 9112, section 9.6, asks: closes the output, then reads and
 * discards what the caller still sends until it closes its side. A socket that is closed with unread bytes is reset,
 * and the reset discards the part of the response that has not reached the caller.
 */
internal class LingeringClose(
    private val now: () -> Duration,
    /** Called when the output has been closed; the connection is open until its caller closes it or it is cut off. */
    private val onOutputClosed: () -> Unit,
) {
    private var state: LingerState? = null

    /** Whether the last response has been passed on, so that received bytes are discarded. */
    val isBegun: Boolean get() = state != null

    /** Begins with [lastWrite], the write of the end of the last response. */
    fun begin(lastWrite: ChannelFuture) {
        val channel = lastWrite.channel()
        state = LingerState()
        channel.config().isAutoRead = true
        lastWrite.addListener(
            ChannelFutureListener {
                // The listener can run within the write, whose buffer must not be closed under it.
                if (it.isSuccess) channel.eventLoop().execute { closeOutput(channel) } else channel.close()
            },
        )
    }

    /** Closes the output of [channel], to which all responses have been written, before this returns. */
    fun beginAtOnce(channel: Channel) {
        state = LingerState()
        closeOutput(channel)
    }

    private fun closeOutput(channel: Channel) {
        state = state?.copy(startedAt = now())
        (channel as DuplexChannel).shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
        if (channel.isActive) onOutputClosed()
    }

    /** Counts discarded [bytes]; returns whether the connection is to be closed, because they are too many. */
    fun isOverAfter(bytes: Int): Boolean {
        state = state?.received(bytes, now())
        return isOver(now())
    }

    /** Whether the caller has been waited for long enough at the clock reading [now]. */
    fun isOver(now: Duration): Boolean = state?.isOver(now) ?: false

    internal companion object {
        /** Longest time without received bytes. Callers close at once when they have read the response. */
        val MAXIMUM_SILENCE = 2.seconds

        /** Longest time for which a caller may go on to send a request that has been answered. */
        val MAXIMUM_TIME = 30.seconds

        /** More than the largest body that a process accepts, see [RequestBodyBudget]. */
        const val MAXIMUM_BYTES = 33_554_432L
    }
}
