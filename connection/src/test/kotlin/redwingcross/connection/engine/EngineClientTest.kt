package redwingcross.connection.engine

import kotlinx.coroutines.runBlocking
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against orders that the HTTP client sends again on its own, and against orders reported as not sent although
 * the engine may have received them.
 */
class EngineClientTest {
    private val order = EngineOrder(3, GroupId("g"), 1, 0, emptyList(), ServiceName("m"), "1")

    /**
     * Sends [answers] in the order of the requests of all connections; null closes the connection, "" sends nothing.
     */
    private class ScriptedServer(private val answers: List<String?>) : AutoCloseable {
        private val socket = ServerSocket(0, 16, InetAddress.getLoopbackAddress())
        val requests = AtomicInteger()
        val endpoint = "127.0.0.1:${socket.localPort}"

        init {
            thread(isDaemon = true) {
                runCatching { while (true) socket.accept().let { thread(isDaemon = true) { serve(it) } } }
            }
        }

        private fun serve(connection: Socket) {
            val input = connection.getInputStream().bufferedReader()
            var line = input.readLine()
            while (line != null) {
                var length = 0
                while (line != null && line.isNotEmpty()) {
                    if (line.startsWith("Content-Length:", ignoreCase = true)) {
                        length =
                            line.substringAfter(":").trim().toInt()
                    }
                    line = input.readLine()
                }
                repeat(length) { input.read() }
                val answer = answers.getOrNull(requests.getAndIncrement())
                if (answer == null) return connection.close()
                connection.getOutputStream().run {
                    write(answer.encodeToByteArray())
                    flush()
                }
                line = input.readLine()
            }
        }

        override fun close() = socket.close()
    }

    private fun answer(status: String, body: String = "", header: String = "") =
        "HTTP/1.1 $status\r\nContent-Length: ${body.length}\r\n$header\r\n$body"

    private fun send(answers: List<String?>, orders: Int): Pair<List<EngineResult<OrderAnswer>>, Int> =
        ScriptedServer(answers).use { server ->
            EngineClient(EngineTimeouts(300.milliseconds, 300.milliseconds)).use { client ->
                val results = runBlocking { List(orders) { client.sendOrder(server.endpoint, order) } }
                results to server.requests.get()
            }
        }

    @Test
    fun `an order that is refused with Retry-After 0 is not sent again`() {
        val (results, requests) = send(List(4) { answer("503 Busy", header = "Retry-After: 0\r\n") }, orders = 1)
        assertEquals(EngineResult.Answered(OrderAnswer.Refused(503)), results.single())
        assertEquals(1, requests)
    }

    @Test
    fun `an order whose pooled connection is closed is not sent again`() {
        val (results, requests) = send(listOf(answer("202 Accepted"), null, answer("202 Accepted")), orders = 2)
        assertEquals(EngineResult.Answered(OrderAnswer.Accepted), results.first())
        assertIs<EngineResult.NoAnswer>(results.last())
        assertEquals(2, requests)
    }

    @Test
    fun `an engine that does not respond yields no answer, and a fenced order contains the highest token`() {
        assertIs<EngineResult.NoAnswer>(send(listOf(""), orders = 1).first.single())
        val fenced = send(listOf(answer("409 Conflict", """{"highest":7}""")), orders = 1).first.single()
        assertEquals(EngineResult.Answered(OrderAnswer.Fenced(7)), fenced)
    }

    @Test
    fun `an order is reported as not sent if the connection is refused`() {
        val endpoint = ScriptedServer(emptyList()).use { it.endpoint }
        EngineClient().use { client ->
            assertIs<EngineResult.NotSent>(runBlocking { client.sendOrder(endpoint, order) })
        }
    }
}
