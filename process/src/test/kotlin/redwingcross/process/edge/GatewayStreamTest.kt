package redwingcross.process.edge

import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Guards against streams that lose or repeat events when they move to another back end, and against partial responses
 * that appear to be complete.
 */
class GatewayStreamTest : GatewayFixture() {
    @Test
    fun `a stream of a plain service that its caller resumes goes on after the caller's last event`() {
        startRawBackends(1)
        val caller = call("stream", fields = "Resume: 4\r\n")
        nextRawArrival().use {
            assertEquals("4", it.resumeAfter)
            it.send("${STREAM_HEAD}id: 5\ndata: e\n\n")
        }
        assertTrue("data: e" in caller.readAnswer())
    }

    @Test
    fun `a stream that begins again in place of being resumed is not passed on`() {
        startRawBackends(2)
        val caller = call("stream", fields = "Resume: 4\r\n")
        repeat(2) { nextRawArrival().use { it.send("${STREAM_HEAD}id: 1\ndata: a\n\n") } }
        assertTrue("data: a" !in caller.readAnswer())
    }

    @Test
    fun `a stream that breaks off in the middle of an event is resumed after the last complete event`() {
        startBackends(2)
        val caller = call("stream")
        val first = nextArrival()
        onLoop {
            first.beginStream(200, headers("Id" to "7", "Signed" to "1"))
            first.write("id: 1\ndata: a\n\nid: 2\nda".toByteArray())
        }
        caller.getInputStream().read()
        onLoop(first::abort)
        val second = nextArrival()
        assertEquals("1", second.head.headers.get("Resume"))
        onLoop {
            second.beginStream(200, headers("Id" to "7", "Signed" to "2"))
            second.write("id: 2\ndata: b\n\n".toByteArray())
            second.endStream()
        }
        val answer = caller.readAnswer()
        assertTrue("Signed: 1" in answer && "Signed: 2" !in answer, answer)
        assertTrue(answer.indexOf("data: a") in 0 until answer.indexOf("data: b"), answer)
        assertEquals(1, Regex("id: 2").findAll(answer).count(), answer)
    }

    @Test
    fun `the error of the next back end is not written into a stream that has begun`() {
        startBackends(2)
        val caller = call("stream")
        breakOffAfterFirstEvent(caller)
        val error = headers("Id" to "7", "Signed" to "2", "Content-Type" to "text/event-stream")
        nextArrival().let { onLoop { it.respond(500, error, "id: 2\ndata: failed\n\n".toByteArray()) } }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("failed" !in rest && "500" !in rest, rest)
        assertTrue(wasReset, "the stream must not end as if it were complete: $rest")
    }

    @Test
    fun `a long error of the next back end is not written into a stream that has begun`() {
        startBackends(2)
        val caller = call("stream")
        breakOffAfterFirstEvent(caller)
        val second = nextArrival()
        onLoop {
            second.beginStream(502, headers("Id" to "7", "Signed" to "2"))
            repeat(64) { second.write(ByteArray(16_384) { 'x'.code.toByte() }) }
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("xx" !in rest, rest.take(200))
        assertTrue(wasReset, "the stream must not end as if it were complete")
    }

    @Test
    fun `a stream that has begun goes on at a third back end after the second one answered with an error`() {
        startBackends(3)
        val caller = call("long-stream")
        breakOffAfterFirstEvent(caller)
        val error = headers("Id" to "7", "Signed" to "2")
        nextArrival().let { onLoop { it.respond(500, error, "failed".toByteArray()) } }
        val third = nextArrival()
        assertEquals("1", third.head.headers.get("Resume"))
        onLoop {
            third.beginStream(200, headers("Id" to "7", "Signed" to "3", "Content-Type" to "text/event-stream"))
            third.write("id: 2\ndata: b\n\n".toByteArray())
            third.endStream()
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("data: b" in rest && "failed" !in rest && !wasReset, rest)
    }

    @Test
    fun `a stream whose last event was passed on ends with the whole answer of the next back end, which has none`() {
        for (framing in listOf(EMPTY_BODY, EMPTY_CHUNKS, UNTIL_CLOSE)) {
            startRawBackends(2)
            val caller = call("stream")
            breakOffAfterEvent(caller)
            nextRawArrival().use {
                assertEquals("1", it.resumeAfter)
                it.send(streamHead(framing))
            }
            val (rest, wasReset) = caller.readUntilClosed()
            assertTrue(rest.endsWith("0\r\n\r\n") && !wasReset, "'$framing': '$rest', reset: $wasReset")
        }
    }

    @Test
    fun `a stream is not completed by an answer without an event that is cut off`() {
        for (framing in listOf("Content-Length: 20\r\n\r\n", CHUNKED, "${CHUNKED}7\r\nid: 2")) {
            startRawBackends(2)
            val caller = call("stream")
            breakOffAfterEvent(caller)
            nextRawArrival().use { it.send(streamHead(framing)) }
            val (rest, wasReset) = caller.readUntilClosed()
            assertTrue(wasReset, "'$framing': the stream must not end as if it were complete: $rest")
        }
    }

    @Test
    fun `a stream is not completed by an answer without a length and an event that is reset`() {
        startRawBackends(2)
        val caller = call("stream")
        breakOffAfterEvent(caller)
        nextRawArrival().let {
            it.send(STREAM_HEAD)
            Thread.sleep(RESET_DELAY_MILLIS)
            it.reset()
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue(wasReset, "the stream must not end as if it were complete: $rest")
    }

    @Test
    fun `a caller that resumes a stream after its last event gets the end of the stream`() {
        for (framing in listOf(EMPTY_BODY, EMPTY_CHUNKS, UNTIL_CLOSE)) {
            startRawBackends(1)
            val caller = call("stream", fields = "Resume: 4\r\n")
            nextRawArrival().use { it.send(streamHead(framing)) }
            val answer = caller.readAnswer()
            assertTrue("200 OK" in answer, "'$framing': $answer")
        }
    }

    @Test
    fun `a whole answer without any event is passed on`() {
        for (framing in listOf(EMPTY_BODY, EMPTY_CHUNKS)) {
            startRawBackends(1)
            val caller = call("stream")
            nextRawArrival().use { it.send(streamHead(framing)) }
            val answer = caller.readAnswer()
            assertTrue("200 OK" in answer, "'$framing': $answer")
        }
    }

    @Test
    fun `a successful answer of another media type is not written into a stream that has begun`() {
        startBackends(2)
        val caller = call("stream")
        breakOffAfterFirstEvent(caller)
        val head = headers("Id" to "7", "Signed" to "2", "Content-Type" to "text/html")
        nextArrival().let { onLoop { it.respond(200, head, "<p>page</p>\n\n".toByteArray()) } }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("page" !in rest, rest)
        assertTrue(wasReset, "the stream must not end as if it were complete: $rest")
    }

    @Test
    fun `events without ids of the next back end are not written into a stream that has begun`() {
        startBackends(2)
        val caller = call("stream")
        breakOffAfterFirstEvent(caller)
        val head = headers("Id" to "7", "Signed" to "2", "Content-Type" to "text/event-stream")
        nextArrival().let { onLoop { it.respond(200, head, "data: restarted\n\nid: 2\ndata: b\n\n".toByteArray()) } }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("restarted" !in rest, rest)
        assertTrue(wasReset, "the stream must not end as if it were complete: $rest")
    }

    @Test
    fun `a long plain answer that breaks off is not continued with the answer of another back end`() {
        startBackends(2)
        val caller = call("idempotent")
        val first = nextArrival()
        onLoop {
            first.beginStream(200, headers("Id" to "7", "Signed" to "1"))
            repeat(32) { first.write(ByteArray(16_384) { 'a'.code.toByte() }) }
        }
        caller.readThrough("aaaa")
        onLoop(first::abort)
        val (_, wasReset) = caller.readUntilClosed()
        assertTrue(wasReset, "a partial answer must not appear to be complete")
        assertNull(arrivals.poll(300, TimeUnit.MILLISECONDS), "another back end got the request")
    }

    @Test
    fun `an event without end is given up and the stream goes on at another back end`() {
        startBackends(2)
        val caller = call("stream")
        val first = nextArrival()
        val aborted = LinkedBlockingQueue<Unit>()
        onLoop {
            first.onDisconnect = { aborted.put(Unit) }
            first.beginStream(200, headers("Id" to "7", "Signed" to "1"))
            repeat(64) { first.write(ByteArray(16_384) { 'x'.code.toByte() }) }
        }
        assertNotNull(aborted.poll(5, TimeUnit.SECONDS), "the connection of the faulty back end stays open")
        nextArrival().respondSigned("id: 1\ndata: a\n\n")
        val answer = caller.readAnswer()
        assertTrue("data: a" in answer && "xx" !in answer, answer.take(200))
    }

    @Test
    fun `an answer without a length is passed on whole and with its length`() {
        startRawBackends(1)
        val caller = call("non-idempotent")
        nextRawArrival().use { it.send("HTTP/1.1 200 OK\r\nId: 7\r\nSigned: 1\r\n\r\nwhole body") }
        val answer = caller.readAnswer().lowercase()
        assertTrue("200 ok" in answer && "content-length: 10" in answer && answer.endsWith("whole body"), answer)
    }

    @Test
    fun `an answer without a length that ends with a reset is not complete`() {
        startRawBackends(1)
        val caller = call("non-idempotent")
        nextRawArrival().let {
            it.send("HTTP/1.1 200 OK\r\nId: 7\r\nSigned: 1\r\n\r\npart")
            Thread.sleep(RESET_DELAY_MILLIS)
            it.reset()
        }
        val answer = caller.readAnswer()
        assertTrue("502" in answer && "part" !in answer, answer)
    }

    @Test
    fun `a stream without a length is completed when its connection closes after an event`() {
        startRawBackends(1)
        val caller = call("stream")
        nextRawArrival().use { it.send(STREAM_HEAD + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") }
        val (answer, wasReset) = caller.readUntilClosed()
        assertTrue("data: b" in answer && answer.endsWith("0\r\n\r\n") && !wasReset, answer)
    }

    @Test
    fun `a stream without a length that closes inside an event is resumed and never complete`() {
        startRawBackends(2)
        val caller = call("stream")
        nextRawArrival().use { it.send(STREAM_HEAD + "id: 1\ndata: a\n\nid: 2\nda") }
        caller.readThrough("id: 1\ndata: a\n\n")
        nextRawArrival().use {
            assertEquals("1", it.resumeAfter)
            it.send(STREAM_HEAD + "id: 2\ndata: b\n\n")
            caller.readThrough("id: 2\ndata: b\n\n")
            it.send("id: 3\nda")
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue(wasReset && "id: 3" !in rest, rest)
    }

    @Test
    fun `a stream without a length that is reset after an event is resumed and never complete`() {
        startRawBackends(2)
        val caller = call("stream")
        nextRawArrival().let {
            it.send(STREAM_HEAD + "id: 1\ndata: a\n\n")
            caller.readThrough("data: a\n\n")
            it.reset()
        }
        nextRawArrival().let {
            assertEquals("1", it.resumeAfter)
            it.send(STREAM_HEAD + "id: 2\ndata: b\n\n")
            caller.readThrough("data: b\n\n")
            it.reset()
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue(wasReset, "the stream must not end as if it were complete: $rest")
    }

    @Test
    fun `a stream whose connection closes right after the head is sent to another back end`() {
        startRawBackends(2)
        val caller = call("stream")
        nextRawArrival().use { it.send(STREAM_HEAD) }
        nextRawArrival().use { it.send(STREAM_HEAD + "id: 1\ndata: a\n\n") }
        val (answer, wasReset) = caller.readUntilClosed()
        assertTrue("data: a" in answer && !wasReset, answer)
    }

    private fun breakOffAfterEvent(caller: Socket) = nextRawArrival().let {
        it.send("${STREAM_HEAD}id: 1\ndata: a\n\n")
        caller.readThrough("data: a\n\n")
        it.reset()
    }

    private fun streamHead(framing: String) = STREAM_HEAD.removeSuffix("\r\n") + framing

    private companion object {
        const val EMPTY_BODY = "Content-Length: 0\r\n\r\n"
        const val CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
        const val EMPTY_CHUNKS = "${CHUNKED}0\r\n\r\n"
        const val UNTIL_CLOSE = "\r\n"

        /** Time for the bytes before a reset to be read; a reset discards what has not been read. */
        const val RESET_DELAY_MILLIS = 100L
    }
}
