package redwingcross.cli

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import redwingcross.connection.platform.ConditionalWrite
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.PlatformResult
import redwingcross.connection.platform.PlatformStore
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.writeConfirmed
import redwingcross.request.MonotonicClock
import redwingcross.request.idempotency.ConfirmedWriteResult
import redwingcross.request.idempotency.Nonce
import redwingcross.version.operation.OperationResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Result of reading from the store. */
internal sealed interface ReadResult<out T> {
    data class Value<T>(val value: T) : ReadResult<T>

    /** The platform is unavailable or the object is malformed. */
    data class Failed(val detail: String) : ReadResult<Nothing>
}

/** Result of changing one object in the store. */
internal sealed interface ChangeResult<out T> {
    /** The change was written; [value] is the new content. */
    data class Done<T>(val value: T) : ChangeResult<T>

    /** The object already has the requested content; nothing was written. */
    data object AlreadyDone : ChangeResult<Nothing>

    /** The present content of the object does not allow the change, or another operator wrote it in between. */
    data class Conflict(val reason: String) : ChangeResult<Nothing>

    /** The change did not take effect. */
    data class NotDone(val detail: String) : ChangeResult<Nothing>

    /** The change may have taken effect. */
    data class Unknown(val detail: String) : ChangeResult<Nothing>
}

/** The report of a change that did not succeed. [change] names the change in the messages. */
internal fun ChangeResult<*>.failureReport(change: String): CommandReport = when (this) {
    is ChangeResult.Conflict -> CommandReport.conflict(reason)
    is ChangeResult.NotDone -> CommandReport.failed("$change did not take effect: $detail")
    is ChangeResult.Unknown -> CommandReport.unknown("$change may have taken effect: $detail")
    is ChangeResult.Done, ChangeResult.AlreadyDone -> CommandReport.done("$change is in effect")
}

/** Reads the objects in the store that operators own, and changes them by conditional writes. */
internal class OperatorStore(
    private val store: PlatformStore,
    private val clock: MonotonicClock,
    private val newNonce: () -> String,
    private val writeTimeout: Duration = DEFAULT_WRITE_TIMEOUT,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Reads and decodes the object; the value is null if it does not exist. */
    suspend fun <T> read(key: ObjectKey, serializer: KSerializer<T>): ReadResult<T?> =
        when (val found = readObject(key, serializer)) {
            is ReadResult.Failed -> found
            is ReadResult.Value -> ReadResult.Value(found.value?.second)
        }

    /**
     * Reads the object, computes the next value with [decide], and writes it on the condition that the object has not
     * changed since the read. The value contains a nonce that is new for each change: if the response to the write is
     * lost, the object is read again, and the nonce shows whether the change took effect.
     */
    suspend fun <T> change(
        key: ObjectKey,
        serializer: KSerializer<T>,
        decide: (T?, nonce: String) -> OperationResult<T>,
    ): ChangeResult<T> {
        val found = when (val read = readObject(key, serializer)) {
            is ReadResult.Failed -> return ChangeResult.NotDone(read.detail)
            is ReadResult.Value -> read.value
        }
        val nonce = newNonce()
        return when (val decided = decide(found?.second, nonce)) {
            OperationResult.AlreadyDone -> ChangeResult.AlreadyDone
            is OperationResult.Conflict -> ChangeResult.Conflict(decided.reason)
            is OperationResult.Write -> write(key, found?.first, decided.value, serializer, nonce)
        }
    }

    private suspend fun <T> write(
        key: ObjectKey,
        found: StoredObject?,
        value: T,
        serializer: KSerializer<T>,
        nonce: String,
    ): ChangeResult<T> {
        val put = ConditionalWrite.Put(key, found?.version, json.encodeToJsonElement(serializer, value))
        return when (val result = store.writeConfirmed(put, Nonce(nonce), clock.now() + writeTimeout, clock)) {
            is ConfirmedWriteResult.Confirmed -> ChangeResult.Done(value)
            is ConfirmedWriteResult.Conflict -> ChangeResult.Conflict(
                "$key was changed by another operator; read it again before retrying",
            )
            is ConfirmedWriteResult.NoEffect -> ChangeResult.NotDone(result.detail)
            is ConfirmedWriteResult.Unknown -> ChangeResult.Unknown(result.detail)
        }
    }

    private suspend fun <T> readObject(key: ObjectKey, serializer: KSerializer<T>): ReadResult<Pair<StoredObject, T>?> =
        when (val result = store.read(key)) {
            is PlatformResult.Answered -> decode(key, result.value, serializer)
            is PlatformResult.Unavailable -> ReadResult.Failed("platform unavailable: ${result.detail}")
            is PlatformResult.OutcomeUnknown -> ReadResult.Failed("platform unavailable: ${result.detail}")
        }

    private fun <T> decode(
        key: ObjectKey,
        stored: StoredObject?,
        serializer: KSerializer<T>,
    ): ReadResult<Pair<StoredObject, T>?> = try {
        ReadResult.Value(stored?.let { it to json.decodeFromJsonElement(serializer, it.value) })
    } catch (failure: SerializationException) {
        ReadResult.Failed("$key is malformed: ${failure.message}")
    }

    private companion object {
        val DEFAULT_WRITE_TIMEOUT = 15.seconds
    }
}
