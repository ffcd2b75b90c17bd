package redwingcross.connection.http

import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Probes of silent TCP connections, so that a connection that went silent for good ends after a few seconds. */
object KeepAlive {
    private const val IDLE_SECONDS = 1
    private const val INTERVAL_SECONDS = 1
    private const val PROBES = 2

    private val idle = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE)
    private val interval = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL)
    private val count = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT)

    /** Turns the probes on for [channel]. */
    fun apply(channel: Channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true)
        channel.config().setOption(idle, IDLE_SECONDS)
        channel.config().setOption(interval, INTERVAL_SECONDS)
        channel.config().setOption(count, PROBES)
    }
}
