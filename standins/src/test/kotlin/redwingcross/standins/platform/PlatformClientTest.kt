package redwingcross.standins.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonPrimitive
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
import redwingcross.standins.orderFaults
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a client that reports a write as without effect although it may take effect, that takes a lost,
 * silent or crossed answer for a definite one, or whose watch misses changes after a failure.
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
                    watchSilence = 500.milliseconds,
                )
            val client = assertIs<Checked.Valid<PlatformClient>>(
                PlatformClient.start(settings, clientScope, watchWait = { 1.seconds }),
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
    fun `a write whose answer is lost, late, cut, silent or crossed has an unknown outcome`() =
        withPlatform { platform, store ->
            val faults = listOf(
                "loseAnswerNext" to 1,
                "lateMillis" to 900,
                "cutNext" to 1,
                "silentNext" to 1,
                "delayWriteNext" to 1,
            )
            for ((fault, value) in faults) {
                orderFaults(platform.port, """{"$fault":$value}""")
                assertIs<PlatformResult.OutcomeUnknown>(store.write(put(fault, null)), fault)
                orderFaults(platform.port, "{}")
            }
            assertEquals(PlatformResult.Answered(stored("loseAnswerNext", 1)), store.read(key))

            orderFaults(platform.port, """{"crossNext":1}""")
            val first = launch { assertIs<PlatformResult.OutcomeUnknown>(store.write(put("crossed", 1))) }
            assertIs<PlatformResult.Unavailable>(store.read(key))
            first.join()
        }

    @Test
    fun `a refused connection is reported as without effect`() = withPlatform { platform, store ->
        platform.stop()
        assertIs<PlatformResult.Unavailable>(store.write(put("one", null)))
    }

    @Test
    fun `a watch lists the kind again after an outage and after its connection went silent`() =
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
                orderFaults(platform.port, """{"$fault":true}""")
                assertIs<WatchEvent.Unavailable>(next(), fault)
                orderFaults(platform.port, "{}")
                assertIs<WatchEvent.Snapshot>(nextSnapshot(), fault)
                assertEquals(written(3L + round), store.write(put(fault, 3L.takeIf { round == 1 })))
                assertEquals(WatchEvent.Changed(stored(fault, 3L + round)), next())
            }
            watch.cancelAndJoin()
        }
}
