package redwingcross.connection.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against connections that a process closes without a trace of the reason, as in a report of lost requests. */
class CallerCloseReportTest {
    private val fixture = ListenerFixture()

    @AfterTest
    fun close() = fixture.close()

    @Test
    fun `an idle connection is reported with its idle time and the limit`() {
        fixture.limits = fixture.limits.copy(idleTimeout = 200.milliseconds)
        fixture.connect().use {
            val close = fixture.nextClose()
            assertEquals(CallerCloseReason.IDLE to HeldRequest.NONE, close.reason to close.request)
            assertTrue(close.idle > close.limit && close.limit == 200.milliseconds, "$close")
        }
    }

    @Test
    fun `a refused, an aborted, a stopped and a failed connection are reported once, with the request they held`() {
        fixture.connect().use {
            it.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n")
            assertClosed(CallerCloseReason.REFUSED, HeldRequest.PART)
        }
        fixture.connect().use {
            it.send(GET)
            val exchange = fixture.nextExchange()
            fixture.onLoop {
                exchange.beginStream(200, DefaultHttpHeaders())
                exchange.abort()
            }
            assertClosed(CallerCloseReason.ABORTED, HeldRequest.WHOLE)
        }
        fixture.connect().use {
            it.send(GET.replace("Host", "Connection: close\r\nHost"))
            fixture.respond(fixture.nextExchange())
            assertClosed(CallerCloseReason.CALLER, HeldRequest.NONE)
        }
        fixture.connect().use {
            it.send(GET + GET)
            fixture.nextExchange()
            fixture.readLimits = {
                fixture.readLimits = { fixture.limits }
                error("failed connection")
            }
            fixture.onLoop(fixture::checkTimeouts)
            assertNotNull(assertClosed(CallerCloseReason.FAILED, HeldRequest.WHOLE).cause)
        }
        fixture.connect().use {
            it.send(GET)
            fixture.respond(fixture.nextExchange())
            fixture.onLoop(fixture.listener::closeGracefully)
            assertClosed(CallerCloseReason.STOP, HeldRequest.NONE)
        }
        sleep(1.seconds)
        assertTrue(fixture.closes.isEmpty(), "${fixture.closes}")
    }

    @Test
    fun `the requests that are lost behind an aborted response are counted`() {
        for (queued in 0..2) {
            fixture.connect().use {
                it.send(GET.repeat(1 + queued))
                val exchange = fixture.nextExchange()
                fixture.onLoop {
                    exchange.beginStream(200, DefaultHttpHeaders())
                    exchange.abort()
                }
                assertEquals(queued, assertClosed(CallerCloseReason.ABORTED, HeldRequest.WHOLE).queued)
            }
        }
    }

    private fun assertClosed(reason: CallerCloseReason, request: HeldRequest): CallerClose {
        val close = fixture.nextClose()
        assertEquals(reason to request, close.reason to close.request)
        return close
    }
}
