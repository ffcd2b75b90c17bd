package redwingcross.connection.http

import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** TCP keep-alive settings with which a connection whose remote end has vanished is closed after a few seconds. */
object TcpKeepAlive {
    private const val IDLE_SECONDS = 1
    private const val INTERVAL_SECONDS = 1
    private const val PROBES = 2

    private val idle = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE)
    private val interval = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL)
    private val count = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT)

    /** Enables TCP keep-alive probes for [channel]. */
    fun apply(channel: Channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true)
        channel.config().setOption(idle, IDLE_SECONDS)
        channel.config().setOption(interval, INTERVAL_SECONDS)
        channel.config().setOption(count, PROBES)
    }
}
