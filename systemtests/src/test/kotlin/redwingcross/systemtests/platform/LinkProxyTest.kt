package redwingcross.systemtests.platform

import io.netty.channel.nio.NioEventLoopGroup
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test

/** Guards against a link that fails in place of the connections that it resets. */
class LinkProxyTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next() as io.netty.channel.EventLoop

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a link can be reset while the end of a connection has not been handled`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val target = InetSocketAddress(server.inetAddress, server.localPort)
            val link = LinkProxy(loop, target)
            Socket(link.address.address, link.address.port).use { caller ->
                server.accept().use { accepted ->
                    caller.getOutputStream().write(1)
                    accepted.getInputStream().read()
                    loop.submit { repeat(2) { link.reset() } }.get()
                }
            }
        }
    }
}
