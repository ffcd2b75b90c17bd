package redwingcross.standins.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonPrimitive
import org.http4k.core.Method
import redwingcross.connection.platform.ConditionalWrite
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.ObjectKind
import redwingcross.connection.platform.ObjectVersion
import redwingcross.connection.platform.PlatformClient
import redwingcross.connection.platform.PlatformClientSettings
import redwingcross.connection.platform.PlatformResult
import redwingcross.connection.platform.PlatformStore
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WatchEvent
import redwingcross.connection.platform.WriteAnswer
import redwingcross.request.Checked
import redwingcross.standins.fetch
import redwingcross.standins.http.StandinReply
import redwingcross.standins.http.StandinServer
import redwingcross.standins.http.json
import redwingcross.standins.putFaults
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a client that reports a write as failed although it may take effect, that treats a lost, missing or
 * swapped response as a definite result, or whose watch misses changes after a failure.
 */
class PlatformClientTest {
    private val kind = ObjectKind("control")
    private val key = ObjectKey(kind, "a bundle/1")

    private fun withPlatform(block: suspend CoroutineScope.(PlatformStandin, PlatformStore) -> Unit) = runBlocking {
        val platform = PlatformStandin().start()
        val clientScope = this + Job()
        try {
            val settings =
                PlatformClientSettings(
                    listOf("http://127.0.0.1:${platform.port}"),
                    callTimeout = 400.milliseconds,
                    longPollGrace = 500.milliseconds,
                )
            val client = assertIs<Checked.Valid<PlatformClient>>(
                PlatformClient.start(settings, clientScope, longPollWait = { 1.seconds }),
            ).value
            coroutineScope { block(platform, client.store) }
        } finally {
            clientScope.cancel()
            platform.stop()
        }
    }

    private fun put(value: String, expected: Long?) =
        ConditionalWrite.Put(key, expected?.let(::ObjectVersion), JsonPrimitive(value))

    private fun stored(value: String, version: Long) = StoredObject(key, ObjectVersion(version), JsonPrimitive(value))

    private fun written(version: Long) = PlatformResult.Answered(WriteAnswer.Written(ObjectVersion(version)))

    private val conflict = PlatformResult.Answered(WriteAnswer.Conflict)

    @Test
    fun `conditional writes take effect only at the expected version`() = withPlatform { _, store ->
        assertEquals(PlatformResult.Answered(null), store.read(key))
        assertEquals(written(1), store.write(put("one", null)))
        assertEquals(conflict, store.write(put("other", null)))
        assertEquals(written(2), store.write(put("two", 1)))
        assertEquals(conflict, store.write(ConditionalWrite.Delete(key, ObjectVersion(1))))
        assertEquals(PlatformResult.Answered(listOf(stored("two", 2))), store.list(kind))
        assertEquals(written(3), store.write(ConditionalWrite.Delete(key, ObjectVersion(2))))
        assertEquals(conflict, store.write(put("three", 2)))
    }

    @Test
    fun `a write without a response in time has an unknown outcome`() = withPlatform { platform, store ->
        val faults = listOf(
            "loseAnswerNext" to 1,
            "lateMillis" to 900,
            "cutNext" to 1,
            "silentNext" to 1,
            "delayWriteNext" to 1,
        )
        for ((fault, value) in faults) {
            putFaults(platform.port, """{"$fault":$value}""")
            assertIs<PlatformResult.OutcomeUnknown>(store.write(put(fault, null)), fault)
            putFaults(platform.port, "{}")
        }
        assertEquals(PlatformResult.Answered(stored("loseAnswerNext", 1)), store.read(key))
    }

    @Test
    fun `a response to another request is rejected`() = withPlatform { platform, store ->
        putFaults(platform.port, """{"crossNext":1}""")
        val write = async { store.write(put("crossed", null)) }
        assertIs<PlatformResult.Unavailable>(store.read(key))
        assertIs<PlatformResult.OutcomeUnknown>(write.await())
        assertEquals(PlatformResult.Answered(stored("crossed", 1)), store.read(key))
    }

    @Test
    fun `a refused connection is reported as a write without effect`() = withPlatform { platform, store ->
        platform.stop()
        assertIs<PlatformResult.Unavailable>(store.write(put("one", null)))
    }

    @Test
    fun `a watch lists the kind again after an outage and after its connection stopped responding`() =
        withPlatform { platform, store ->
            val events = Channel<WatchEvent>(Channel.UNLIMITED)
            val watch = launch { store.watch(kind).collect(events::send) }

            suspend fun next(): WatchEvent = events.receive().let { if (it == WatchEvent.Unchanged) next() else it }

            suspend fun nextSnapshot(): WatchEvent = next().let {
                if (it is WatchEvent.Unavailable) nextSnapshot() else it
            }

            assertEquals(WatchEvent.Snapshot(emptyList()), next())
            store.write(put("one", null))
            assertEquals(WatchEvent.Changed(stored("one", 1)), next())
            store.write(ConditionalWrite.Delete(key, ObjectVersion(1)))
            assertEquals(WatchEvent.Deleted(key), next())
            for ((round, fault) in listOf("down", "silenceOpen").withIndex()) {
                putFaults(platform.port, """{"$fault":true}""")
                assertIs<WatchEvent.Unavailable>(next(), fault)
                putFaults(platform.port, "{}")
                assertIs<WatchEvent.Snapshot>(nextSnapshot(), fault)
                assertEquals(written(3L + round), store.write(put(fault, 3L.takeIf { round == 1 })))
                assertEquals(WatchEvent.Changed(stored(fault, 3L + round)), next())
            }
            watch.cancelAndJoin()
        }

    @Test
    fun `a malformed response is reported with its position and never as a definite result`() = runBlocking {
        val malformed = StandinServer(0) { request, _ ->
            val list = json("""[{"name":"bundle"}]""").header("X-Kind-Version", "7")
            StandinReply.Respond(if (request.method == Method.GET) list else json("{"))
        }.start()
        val clientScope = this + Job()
        try {
            val settings = PlatformClientSettings(listOf("http://127.0.0.1:${malformed.port}"))
            val store = assertIs<Checked.Valid<PlatformClient>>(PlatformClient.start(settings, clientScope)).value.store

            assertContains(assertIs<PlatformResult.Unavailable>(store.read(key)).detail, "X-Version")
            assertContains(assertIs<PlatformResult.Unavailable>(store.list(kind)).detail, "control: body[0]")
            assertContains(assertIs<PlatformResult.OutcomeUnknown>(store.write(put("one", null))).detail, "X-Version")
            assertContains(assertIs<WatchEvent.Unavailable>(store.watch(kind).first()).detail, "control: body[0]")
        } finally {
            clientScope.cancel()
            malformed.stop()
        }
    }

    @Test
    fun `callers beyond the limit of waiting calls are refused without effect`() = withPlatform { platform, store ->
        putFaults(platform.port, """{"freezeMillis":200}""")
        val results = (1..400).map { async { store.read(ObjectKey(kind, "$it")) } }.awaitAll()
        val refused = results.filterIsInstance<PlatformResult.Unavailable>().filter { "are waiting" in it.detail }
        assertContains(400 - 256 - 2 * PlatformClientSettings(emptyList()).maxConcurrentCalls..400 - 256, refused.size)
    }

    @Test
    fun `the next base URL is used if the first one is unreachable`() = withPlatform { platform, _ ->
        val closed = "http://127.0.0.1:${ServerSocket(0).use { it.localPort }}"
        val clientScope = this + Job()
        val settings = PlatformClientSettings(listOf(closed, "http://127.0.0.1:${platform.port}"))
        val store = assertIs<Checked.Valid<PlatformClient>>(PlatformClient.start(settings, clientScope)).value.store

        assertEquals(written(1), store.write(put("one", null)))
        assertEquals(PlatformResult.Answered(stored("one", 1)), store.read(key))
        clientScope.cancel()
    }

    @Test
    fun `waiting watches block no threads of the platform`() = withPlatform { platform, _ ->
        // The threads of the default executor grow with the load and would be counted as threads of the platform.
        val http = HttpClient.newBuilder().executor(Executors.newFixedThreadPool(2)).build()
        val poll = URI("http://127.0.0.1:${platform.port}/objects/control?since=0&waitSeconds=60")
        val before = Thread.getAllStackTraces().size
        val polls = (1..300).map { http.sendAsync(HttpRequest.newBuilder(poll).build(), BodyHandlers.discarding()) }
        while ("\"watches\":300" !in fetch(platform.port, "/standin/calls")) delay(50.milliseconds)
        val added = Thread.getAllStackTraces().size - before
        assertTrue(added < 100, "$added threads were added")
        putFaults(platform.port, """{"down":true}""")
        polls.forEach { assertTrue(it.handle { _, failure -> failure != null }.await()) }
    }
}
