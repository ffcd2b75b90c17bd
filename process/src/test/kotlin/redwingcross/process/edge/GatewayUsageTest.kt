package redwingcross.process.edge

import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against requests that are counted although no back end ran them, not counted, or counted too often. */
class GatewayUsageTest : GatewayFixture() {
    private fun assertCounted(vararg customers: String) {
        assertEquals(customers.toList(), List(customers.size) { begun.poll(5, TimeUnit.SECONDS)?.customer?.value })
        assertNull(begun.poll(200, TimeUnit.MILLISECONDS))
    }

    @Test
    fun `a call counts for its customer when a back end answers it, but not when one declines it`() {
        startBackends(2)
        val caller = call("non-idempotent", key = "k1")
        nextArrival().decline()
        assertCounted()
        nextArrival().respondSigned("done")
        caller.readAnswer()
        assertCounted("urgent")
    }

    @Test
    fun `a call that failed at its back end counts, one whose answer is lost or unsigned doesn't`() {
        startBackends(1)
        val failed = call("non-idempotent")
        nextArrival().let { onLoop { it.respond(500, headers("Id" to "7"), ByteArray(0)) } }
        failed.readAnswer()
        assertCounted("normal")
        val lost = call("non-idempotent")
        nextArrival().let { onLoop(it::abort) }
        lost.readAnswer()
        val unsigned = call("non-idempotent")
        nextArrival().let { onLoop { it.respond(200, headers("Id" to "7"), ByteArray(0)) } }
        unsigned.readAnswer()
        assertCounted()
    }

    @Test
    fun `a stream counts at its first event, and again at the back end that resumes it`() {
        startBackends(2)
        val caller = call("stream")
        val first = nextArrival()
        onLoop {
            first.beginStream(200, headers("Id" to "7", "Signed" to "1"))
            first.write(": comment\n\n".toByteArray())
        }
        assertCounted()
        onLoop { first.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n".toByteArray()) }
        caller.readThrough("data: b\n\n")
        assertCounted("normal")
        onLoop(first::abort)
        val second = nextArrival()
        onLoop {
            second.beginStream(200, headers("Id" to "7", "Signed" to "1"))
            second.write("id: 3\ndata: c\n\n".toByteArray())
            second.endStream()
        }
        caller.readAnswer()
        assertCounted("normal")
    }

    @Test
    fun `a stream that its back end refuses or that fails before its first event doesn't count`() {
        startBackends(1)
        val caller = call("stream")
        nextArrival().let { onLoop { it.respond(500, headers("Id" to "7", "Signed" to "1"), "x".toByteArray()) } }
        caller.readAnswer()
        assertCounted()
    }
}
