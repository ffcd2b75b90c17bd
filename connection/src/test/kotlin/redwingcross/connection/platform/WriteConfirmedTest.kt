package redwingcross.connection.platform

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import redwingcross.request.MonotonicClock
import redwingcross.request.idempotency.ConfirmedWriteResult
import redwingcross.request.idempotency.FoundVersion
import redwingcross.request.idempotency.Nonce
import redwingcross.request.idempotency.RecordVersion
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a write with a lost answer that is reported as succeeded or failed without reading the object back.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class WriteConfirmedTest {
    private val key = ObjectKey(ObjectKind("lease"), "ub-a")

    private fun session(block: suspend (InMemoryPlatform, suspend (String, Long?) -> ConfirmedWriteResult) -> Unit) =
        runTest {
            val platform = InMemoryPlatform()
            val store = platform.store("controller")
            val clock = MonotonicClock { currentTime.milliseconds }
            block(platform) { nonce, expected ->
                val value = JsonObject(mapOf("nonce" to JsonPrimitive(nonce)))
                val put = ConditionalWrite.Put(key, expected?.let(::ObjectVersion), value)
                store.writeConfirmed(put, Nonce(nonce), clock.now() + 3.seconds, clock)
            }
        }

    private fun confirmed(version: Long) = ConfirmedWriteResult.Confirmed(RecordVersion(version))

    @Test
    fun `a write whose answer is lost is confirmed by its nonce`() = session { platform, write ->
        platform.loseAnswers = 1
        assertEquals(confirmed(1), write("a", null))
        platform.loseAnswers = 1
        assertEquals(confirmed(2), write("b", 1))
    }

    @Test
    fun `a write that may still take effect is repeated until either takes effect`() = session { platform, write ->
        platform.delayWrites = 1
        assertEquals(confirmed(1), write("a", null))
        platform.applyDelayed()
        assertEquals(ObjectVersion(1), platform[key]?.version)
    }

    @Test
    fun `a value with another nonce is a conflict, also after a lost answer`() = session { platform, write ->
        write("a", null)
        assertEquals(ConfirmedWriteResult.Conflict(null), write("b", null))
        platform.delayWrites = 1
        assertEquals(ConfirmedWriteResult.Conflict(FoundVersion(RecordVersion(1), Nonce("a"))), write("c", null))
    }

    @Test
    fun `the outcome is unknown if an outage lasts until the deadline`() = session { platform, write ->
        platform.isDown = true
        assertIs<ConfirmedWriteResult.Unknown>(write("a", null))
    }
}
