package redwingcross.connection.datagram

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress

/** The socket for messages between the system's own processes. Each message fits into one datagram. */
class DatagramSocket(
    private val group: EventLoopGroup,
    private val onReceived: (ByteArray) -> Unit,
    private val onError: (Throwable) -> Unit,
) {
    private lateinit var channel: Channel

    /** Binds the address; throws if it is in use. */
    fun start(address: InetSocketAddress) {
        channel = Bootstrap()
            .group(group)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.RCVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAXIMUM_BYTES))
            .handler(Receiver())
            .bind(address)
            .sync()
            .channel()
    }

    /** Sends [bytes] to [address] without waiting; a full send buffer loses the datagram. */
    fun send(address: InetSocketAddress, bytes: ByteArray) {
        channel.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), address), channel.voidPromise())
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            onReceived(ByteBufUtil.getBytes(packet.content()))
        }

        @Deprecated("Netty still reports errors of a channel through this method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            onError(cause)
        }
    }

    companion object {
        /** Largest message. */
        const val MAXIMUM_BYTES: Int = 32_768
    }
}
