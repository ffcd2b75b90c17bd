package redwingcross.process.edge

import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against bytes that are no answer in the protocol and reach a caller as the answer of a back end. */
class GatewayStatusTest : GatewayFixture() {
    private val invalid = listOf("000", "099 Other", "20 OK", "600", "999", "0200 OK", "+200 OK")

    private fun answer(status: String) = "HTTP/1.1 $status\r\nId: 7\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nbody"

    @Test
    fun `an answer with an invalid status to a request that must not be repeated has an unknown outcome`() {
        for (status in invalid) {
            startRawBackends(2)
            val caller = call("non-idempotent")
            nextRawArrival().use {
                it.send(answer(status))
                val received = caller.readAnswer()
                assertTrue("502" in received && "body" !in received, "$status: $received")
            }
            sends.poll()
            assertNull(sends.poll(200, TimeUnit.MILLISECONDS), "$status: sent again")
        }
    }

    @Test
    fun `a request that may be repeated is sent to another back end after an answer with an invalid status`() {
        startRawBackends(2)
        val caller = call("idempotent")
        nextRawArrival().use { it.send(answer("000")) }
        nextRawArrival().use { it.send(answer("200 OK")) }
        val received = caller.readAnswer()
        assertTrue("200 OK" in received && "body" in received, received)
    }

    @Test
    fun `a stream that has begun is resumed elsewhere after an answer with an invalid status`() {
        startRawBackends(3)
        val caller = call("long-stream")
        nextRawArrival().let {
            it.send("${STREAM_HEAD}id: 1\ndata: a\n\n")
            caller.readThrough("data: a\n\n")
            it.reset()
        }
        nextRawArrival().use { it.send(STREAM_HEAD.replace("200 OK", "000") + "id: 2\ndata: x\n\n") }
        nextRawArrival().use {
            assertEquals("1", it.resumeAfter)
            it.send("${STREAM_HEAD}id: 2\ndata: b\n\n")
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("data: b" in rest && "data: x" !in rest && !wasReset, rest)
    }
}
