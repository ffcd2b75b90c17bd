package redwingcross.systemtests.platform

import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a stand-in whose restore keeps what was written since the copy, or hides the new era. */
class StoreStandinTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next() as io.netty.channel.EventLoop
    private val store = StoreStandin(loop)
    private val address = FabricStandin(loop, store).listen(store::serve)
    private val http = HttpClient.newHttpClient()

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun <T> onLoop(action: () -> T): T = loop.submit(action).get()

    private fun put(name: String, value: Int) = onLoop {
        store.put("servers", name, buildJsonObject { put("value", JsonPrimitive(value)) })
    }

    private fun get(target: String): HttpResponse<String> {
        val uri = URI("http://${address.hostString}:${address.port}/redwingcross/objects/$target")
        return http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun era(response: HttpResponse<String>) = response.headers().firstValue("Store-Era").get()

    @Test
    fun `a restored store has lost what was written since the copy, and its answers state the new era`() {
        put("e1", 1)
        val copy = onLoop { store.Copy() }
        put("e1", 2)
        put("e2", 1)
        val before = get("servers")
        assertEquals("0" to true, era(before) to ("\"current-rev\":4" in before.body()), before.body())
        onLoop(copy::restore)
        val after = get("servers")
        assertEquals("1" to true, era(after) to ("\"current-rev\":2" in after.body()), after.body())
        assertFalse("e2" in after.body())
        assertEquals(404 to "1", get("servers/e2").let { it.statusCode() to era(it) })
    }

    @Test
    fun `a watch beyond the restored revision gets 410, and events of the new history once it has passed it`() {
        put("e1", 1)
        val copy = onLoop { store.Copy() }
        put("e1", 2)
        onLoop(copy::restore)
        assertEquals(410 to "1", get("servers?watch=3&wait-ms=0").let { it.statusCode() to era(it) })
        put("e3", 1)
        put("e4", 1)
        val events = get("servers?watch=3&wait-ms=0")
        assertEquals(200, events.statusCode())
        assertTrue("e4" in events.body() && "e3" !in events.body(), events.body())
    }

    @Test
    fun `a late answer states the era in which the call was executed`() {
        put("e1", 1)
        val copy = onLoop { store.Copy() }
        onLoop { store.answerDelayMillis = { 300 } }
        loop.schedule(copy::restore, 150, TimeUnit.MILLISECONDS)
        assertEquals("0", era(get("servers")))
        assertEquals("1", era(get("servers")))
    }
}
