package redwingcross.systemtests.platform

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.ReferenceCountUtil
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Fault that a [LinkProxy] applies to its connections. */
internal enum class LinkFault { NONE, DELAYED, SILENT, REQUESTS_LOST, ANSWERS_LOST, REFUSED }

/** TCP proxy on the loopback interface that injects faults into the link to [target]. Its functions run on [loop]. */
internal class LinkProxy(private val loop: EventLoop, private val target: InetSocketAddress) {
    private val channels = mutableSetOf<Channel>()
    private val listening: Channel = ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel::class.java)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = accept(channel)
            },
        )
        .bind(InetAddress.getLoopbackAddress(), 0)
        .syncUninterruptibly()
        .channel()

    /** Address on which the proxy accepts connections. */
    val address: InetSocketAddress get() = listening.localAddress() as InetSocketAddress

    /** Current fault; applies to open connections too, except for [LinkFault.REFUSED]. */
    var fault = LinkFault.NONE

    /** Resets all open connections. */
    fun reset() {
        // The event of a channel that was closed is handled later, so it may still be among the channels.
        for (channel in channels.filter { it.isOpen }) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0)
            channel.close()
        }
    }

    private fun accept(incoming: SocketChannel) {
        if (fault == LinkFault.REFUSED) {
            incoming.config().setOption(ChannelOption.SO_LINGER, 0)
            incoming.close()
            return
        }
        val connecting = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.AUTO_READ, false)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = Unit
                },
            )
            .connect(target)
        connecting.addListener {
            if (!connecting.isSuccess) {
                incoming.close()
            } else {
                forward(incoming, connecting.channel(), dropOn = LinkFault.REQUESTS_LOST)
                forward(connecting.channel(), incoming, dropOn = LinkFault.ANSWERS_LOST)
            }
        }
    }

    private fun forward(from: Channel, to: Channel, dropOn: LinkFault) {
        channels += from
        from.pipeline().addLast(Relay(to, dropOn))
        from.config().isAutoRead = true
    }

    private inner class Relay(private val to: Channel, private val dropOn: LinkFault) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            when (fault) {
                LinkFault.SILENT, dropOn -> ReferenceCountUtil.release(message)
                LinkFault.DELAYED ->
                    loop.schedule({ to.writeAndFlush(message as ByteBuf) }, DELAY_MILLIS, TimeUnit.MILLISECONDS)
                else -> to.writeAndFlush(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            channels -= context.channel()
            to.close()
        }

        @Deprecated("Netty still reports channel errors through this method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val DELAY_MILLIS = 120L
    }
}
