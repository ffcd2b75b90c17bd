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

/** What an operator's read of one object found. */
internal sealed interface Reading<out T> {
    data class Value<T>(val value: T) : Reading<T>

    data class Failed(val detail: String) : Reading<Nothing>
}

/** What became of an operator's change. */
internal sealed interface ChangeResult<out T> {
    data class Done<T>(val value: T) : ChangeResult<T>

    data object AlreadyDone : ChangeResult<Nothing>

    data class Conflict(val reason: String) : ChangeResult<Nothing>

    data class NotDone(val detail: String) : ChangeResult<Nothing>

    data class Unknown(val detail: String) : ChangeResult<Nothing>
}

/** The report of a change that did not go through as decided. */
internal fun ChangeResult<*>.problem(change: String): CommandReport = when (this) {
    is ChangeResult.Conflict -> CommandReport.conflict(reason)
    is ChangeResult.NotDone -> CommandReport.failed("$change did not take effect: $detail")
    is ChangeResult.Unknown -> CommandReport.unknown("$change may have taken effect: $detail")
    is ChangeResult.Done, ChangeResult.AlreadyDone -> CommandReport.done("$change is in effect")
}

/** Reads and conditionally changes the objects of operators. */
internal class OperatorStore(
    private val store: PlatformStore,
    private val clock: MonotonicClock,
    private val newNonce: () -> String,
    private val patience: Duration = DEFAULT_PATIENCE,
) {
    private val json = Json { ignoreUnknownKeys = true }

    suspend fun <T> read(key: ObjectKey, serializer: KSerializer<T>): Reading<T?> =
        when (val found = readObject(key, serializer)) {
            is Reading.Failed -> found
            is Reading.Value -> Reading.Value(found.value?.second)
        }

    /**
     * Reads the object, lets [decide] build the next value with a nonce, and writes it if nobody else wrote in
     * between. A lost answer is read back, so that the result says whether the change took effect.
     */
    suspend fun <T> change(
        key: ObjectKey,
        serializer: KSerializer<T>,
        decide: (T?, nonce: String) -> OperationResult<T>,
    ): ChangeResult<T> {
        val found = when (val reading = readObject(key, serializer)) {
            is Reading.Failed -> return ChangeResult.NotDone(reading.detail)
            is Reading.Value -> reading.value
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
        return when (val result = store.writeConfirmed(put, Nonce(nonce), clock.now() + patience, clock)) {
            is ConfirmedWriteResult.Confirmed -> ChangeResult.Done(value)
            is ConfirmedWriteResult.Conflict -> ChangeResult.Conflict(
                "$key was changed by another operator; read it again",
            )
            is ConfirmedWriteResult.NoEffect -> ChangeResult.NotDone(result.detail)
            is ConfirmedWriteResult.Unknown -> ChangeResult.Unknown(result.detail)
        }
    }

    private suspend fun <T> readObject(key: ObjectKey, serializer: KSerializer<T>): Reading<Pair<StoredObject, T>?> =
        when (val result = store.read(key)) {
            is PlatformResult.Answered -> decode(key, result.value, serializer)
            is PlatformResult.Unavailable -> Reading.Failed("platform unavailable: ${result.detail}")
            is PlatformResult.OutcomeUnknown -> Reading.Failed("platform unavailable: ${result.detail}")
        }

    private fun <T> decode(
        key: ObjectKey,
        stored: StoredObject?,
        serializer: KSerializer<T>,
    ): Reading<Pair<StoredObject, T>?> = try {
        Reading.Value(stored?.let { it to json.decodeFromJsonElement(serializer, it.value) })
    } catch (malformed: SerializationException) {
        Reading.Failed("$key is malformed: ${malformed.message}")
    }

    private companion object {
        val DEFAULT_PATIENCE = 15.seconds
    }
}
