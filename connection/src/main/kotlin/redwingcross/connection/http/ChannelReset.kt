package redwingcross.connection.http

import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelOption

/** Ends a connection with a reset, so that the other end can't take what it got for whole. */
internal fun Channel.closeWithReset() {
    try {
        config().setOption(ChannelOption.SO_LINGER, 0)
    } catch (_: ChannelException) {
        // The socket has been closed and its event is still on its way; there is nothing left to reset.
    }
    close()
}
