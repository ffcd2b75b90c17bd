package redwingcross.connection.http

import io.netty.channel.socket.ChannelOutputShutdownException
import java.io.IOException

/**
 * How the input of a connection ended. It is closed in order only if the remote end closed its side and everything that
 * it had sent was read; any other close of the connection is no end of the input.
 */
internal class InputEnd {
    /** Whether the remote end closed its side in order. */
    var isClosedInOrder = false
        private set

    /** Whether the connection was reset, as far as it has shown. */
    var wasReset = false
        private set

    fun closed() {
        isClosedInOrder = !wasReset
    }

    fun readFailed() {
        wasReset = true
    }

    /**
     * Records that a write failed. The system reports a reset once, to the write here; the next read then ends as if
     * the remote end had closed its side. If it really had before the reset, the failure is a broken pipe.
     */
    fun writeFailed(failure: IOException) {
        val cause = if (failure is ChannelOutputShutdownException) failure.cause else failure
        if (cause?.message != BROKEN_PIPE) wasReset = true
    }

    private companion object {
        /** Text of EPIPE. Another text, as of another system, counts as a reset. */
        const val BROKEN_PIPE = "Broken pipe"
    }
}
