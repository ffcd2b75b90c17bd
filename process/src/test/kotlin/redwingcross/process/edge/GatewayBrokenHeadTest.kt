package redwingcross.process.edge

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against a response whose head was cut off and that reaches the caller as a complete one. The head is cut at
 * every byte, by a close and by a reset, on a new connection and on one that carried a response before.
 */
class GatewayBrokenHeadTest : GatewayFixture() {
    private val start = "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: 1\r\n"

    /** Cuts [head] after [length] bytes and returns what the caller gets. */
    private fun answerToCut(route: String, head: String, length: Int, byReset: Boolean, isReused: Boolean): String {
        if (isReused) {
            val earlier = call(route)
            val arrival = nextRawArrival()
            arrival.send("${start}Content-Length: 5\r\nContent-Type: text/plain\r\n\r\nid: 1")
            earlier.readAnswer()
            val caller = call(route)
            arrival.awaitNextRequest()
            cut(arrival, head, length, byReset)
            return caller.readUntilClosed().first
        }
        val caller = call(route)
        cut(nextRawArrival(), head, length, byReset)
        return caller.readUntilClosed().first
    }

    private fun cut(arrival: RawArrival, head: String, length: Int, byReset: Boolean) {
        arrival.send(head.take(length))
        if (byReset) arrival.reset() else arrival.close()
    }

    private fun assertNeverComplete(route: String, framing: String) {
        startRawBackends(1)
        val head = "$start$framing\r\n"
        for (length in 0 until head.length) {
            for ((byReset, isReused) in listOf(false to false, true to false, false to true, true to true)) {
                val answer = answerToCut(route, head, length, byReset, isReused)
                val place = "cut after $length bytes, reset=$byReset, reused=$isReused: $answer"
                assertTrue(answer.startsWith("HTTP/1.1 502"), place)
                assertEquals("", answer.substringAfter("\r\n\r\n"), place)
            }
        }
    }

    @Test
    fun `a head that declares a length is not complete when it is cut off`() =
        assertNeverComplete("non-idempotent", "Content-Length: 4\r\n")

    @Test
    fun `a head that declares chunks is not complete when it is cut off`() =
        assertNeverComplete("non-idempotent", "Transfer-Encoding: chunked\r\n")

    @Test
    fun `a head without framing is not complete when it is cut off`() =
        assertNeverComplete("non-idempotent", "Content-Type: text/plain\r\n")
}
