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

/** What a link does with the bytes that it carries. */
internal enum class LinkFault { NONE, DELAYED, SILENT, REQUESTS_LOST, ANSWERS_LOST, REFUSED }

/** A TCP proxy on the loopback interface that disturbs the link to [target]. Its functions run on [loop]. */
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

    val address: InetSocketAddress get() = listening.localAddress() as InetSocketAddress

    /** How bytes are treated from now on, also on connections that are open. */
    var fault = LinkFault.NONE

    /** Resets every connection. */
    fun reset() {
        for (channel in channels.toList()) {
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
                join(incoming, connecting.channel(), lost = LinkFault.REQUESTS_LOST)
                join(connecting.channel(), incoming, lost = LinkFault.ANSWERS_LOST)
            }
        }
    }

    private fun join(from: Channel, to: Channel, lost: LinkFault) {
        channels += from
        from.pipeline().addLast(Relay(to, lost))
        from.config().isAutoRead = true
    }

    private inner class Relay(private val to: Channel, private val lost: LinkFault) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            when (fault) {
                LinkFault.SILENT, lost -> ReferenceCountUtil.release(message)
                LinkFault.DELAYED ->
                    loop.schedule({ to.writeAndFlush(message as ByteBuf) }, DELAY_MILLIS, TimeUnit.MILLISECONDS)
                else -> to.writeAndFlush(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            channels -= context.channel()
            to.close()
        }

        @Deprecated("Netty still reports errors of a channel through this method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val DELAY_MILLIS = 120L
    }
}
