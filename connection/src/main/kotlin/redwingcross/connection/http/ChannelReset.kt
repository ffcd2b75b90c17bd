package redwingcross.connection.http

import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelOption

/** Closes a connection with a TCP reset, so that the remote end can't take a partial message for a complete one. */
internal fun Channel.closeWithReset() {
    try {
        config().setOption(ChannelOption.SO_LINGER, 0)
    } catch (_: ChannelException) {
        // The socket is already closed, although the event for it has not been handled yet; nothing is left to reset.
    }
    close()
}
