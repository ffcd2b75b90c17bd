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

/**
 * UDP socket for messages between the system's own processes. Each message is one datagram.
 *
 * [onReceived] and [onError] are called on the event loop of the socket.
 */
class DatagramSocket(
    private val group: EventLoopGroup,
    private val onReceived: (ByteArray) -> Unit,
    private val onError: (Throwable) -> Unit,
) {
    private lateinit var channel: Channel

    /** Binds the address and starts to receive; throws if the address is in use. */
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

    /** Sends [bytes] to [address] without waiting. The datagram is dropped if the send buffer is full. */
    fun send(address: InetSocketAddress, bytes: ByteArray) {
        channel.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), address), channel.voidPromise())
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            onReceived(ByteBufUtil.getBytes(packet.content()))
        }

        @Deprecated("Netty still reports channel errors through this method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            onError(cause)
        }
    }

    companion object {
        /** Largest message in bytes. */
        const val MAXIMUM_BYTES: Int = 32_768
    }
}
