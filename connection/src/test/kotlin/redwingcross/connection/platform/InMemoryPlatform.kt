package redwingcross.connection.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.emptyFlow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** In-memory fake of the platform's store, with latency in virtual time and faults that a test injects. */
class InMemoryPlatform(private val latency: Duration = 2.milliseconds, private val trace: (String) -> Unit = {}) {
    private val objects = sortedMapOf<String, StoredObject>()
    private val delayed = mutableListOf<() -> Unit>()
    private var version = 0L
    var isDown = false

    /** Number of next writes that take effect although their answer is lost. */
    var loseAnswers = 0

    /** Number of next writes that take effect only when [applyDelayed] is called. */
    var delayWrites = 0

    /** Delay of the answer to the next write, in addition to the latency. */
    var nextAnswerDelay = Duration.ZERO

    operator fun get(key: ObjectKey): StoredObject? = objects[key.toString()]

    fun objects(): List<StoredObject> = objects.values.toList()

    fun applyDelayed() = delayed.onEach { it() }.clear()

    /** Returns the store as used by [client], whose name is written to the trace. */
    fun store(client: String): PlatformStore = PlatformStore(
        read = { key -> traced("$client read $key") { read { get(key) } } },
        list = { kind -> traced("$client list $kind") { read { objects().filter { it.key.kind == kind } } } },
        write = { write -> traced("$client ${write.summary()}") { write(write) } },
        watch = { emptyFlow() },
    )

    private suspend fun <T> traced(call: String, result: suspend () -> PlatformResult<T>): PlatformResult<T> {
        delay(latency)
        return result().also { trace("$call -> ${it.summary()}") }
    }

    private fun <T> read(value: () -> T): PlatformResult<T> =
        if (isDown) PlatformResult.Unavailable("no answer") else PlatformResult.Answered(value())

    private suspend fun write(write: ConditionalWrite): PlatformResult<WriteAnswer> {
        if (delayWrites > 0) {
            delayWrites--
            delayed += { apply(write) }
            return PlatformResult.OutcomeUnknown("no answer")
        }
        if (isDown) return PlatformResult.OutcomeUnknown("no answer")
        val answer = apply(write)
        val late = nextAnswerDelay
        nextAnswerDelay = Duration.ZERO
        delay(late)
        if (loseAnswers <= 0) return PlatformResult.Answered(answer)
        loseAnswers--
        return PlatformResult.OutcomeUnknown("answer lost")
    }

    private fun apply(write: ConditionalWrite): WriteAnswer {
        if (get(write.key)?.version != write.expected) return WriteAnswer.Conflict
        val written = ObjectVersion(++version)
        when (write) {
            is ConditionalWrite.Put -> objects[write.key.toString()] = StoredObject(write.key, written, write.value)
            is ConditionalWrite.Delete -> objects.remove(write.key.toString())
        }
        return WriteAnswer.Written(written)
    }
}

private fun ConditionalWrite.summary(): String {
    val condition = expected?.let { "if-match=${it.value}" } ?: "if-none-match=*"
    return when (this) {
        is ConditionalWrite.Put -> "put $key $condition $value"
        is ConditionalWrite.Delete -> "delete $key $condition"
    }
}

private fun PlatformResult<*>.summary(): String = when (this) {
    is PlatformResult.Answered -> when (val answer = value) {
        is StoredObject -> "version=${answer.version.value} ${answer.value}"
        is WriteAnswer.Written -> "version=${answer.version.value}"
        else -> answer.toString()
    }

    else -> toString()
}
