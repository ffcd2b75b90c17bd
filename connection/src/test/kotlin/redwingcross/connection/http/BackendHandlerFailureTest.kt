package redwingcross.connection.http

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.request.MonotonicClock
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against exchanges that never end, or count as lost by the back end, because this process failed in them. */
class BackendHandlerFailureTest {
    private val group = NioEventLoopGroup(1)
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val endpoint = RemoteEndpoint(InetSocketAddress(server.inetAddress, server.localPort), "server")
    private var failingStep = ""
    private val connections = HttpConnections(
        group,
        MonotonicClock.system,
        OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = 4),
        idleLimit = { 4.also { failAt("release") } },
        onResponse = { _, _ -> failAt("observer") },
    )

    init {
        thread(isDaemon = true) { while (!server.isClosed) runCatching { answer() } }
    }

    private fun answer() = server.accept().use {
        while (it.getInputStream().read() != '\n'.code) Unit
        it.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".toByteArray())
        while (it.getInputStream().read() >= 0) Unit
    }

    @AfterTest
    fun close() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun failAt(step: String) = check(step != failingStep) { step }

    private inner class EndListener : ResponseListener {
        val ends = LinkedBlockingQueue<String>()

        override fun onHead(head: ResponseHead) = failAt("head")

        override fun onData(bytes: ByteArray) = failAt("data")

        override fun onEnd() = ends.put("complete")

        override fun onFailure(failure: ExchangeFailure) = ends.put("$failure")

        override fun onError(cause: Throwable) = ends.put("error ${cause.message}")
    }

    private fun endOf(step: String, method: String = "GET"): String? {
        val listener = EndListener()
        group.next().submit {
            failingStep = step
            val matches: ResponseMatcher = { true.also { failAt("matcher") } }
            val head = RequestHead(method, "/", DefaultHttpHeaders().add("Host", "h"))
            connections.exchange(endpoint, head, ByteArray(0), matches, listener)
        }.get()
        return listener.ends.poll(5, TimeUnit.SECONDS)
    }

    @Test
    fun `the listener is told about a failure in each step of an exchange`() {
        val steps = listOf("observer", "matcher", "head", "data")
        assertEquals(steps.map { "error $it" }, steps.map { endOf(it) })
    }

    @Test
    fun `a request that can't be written ends its exchange`() {
        assertEquals("error", endOf("", method = "G T")?.substringBefore(' '))
    }

    @Test
    fun `a complete response is delivered although its connection can't be kept`() {
        assertEquals("complete", endOf("release"))
    }
}
