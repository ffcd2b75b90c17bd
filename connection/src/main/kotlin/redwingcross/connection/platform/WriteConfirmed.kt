package redwingcross.connection.platform

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import redwingcross.request.MonotonicClock
import redwingcross.request.idempotency.ConfirmedWrite
import redwingcross.request.idempotency.ConfirmedWriteEffect
import redwingcross.request.idempotency.ConfirmedWriteEvent
import redwingcross.request.idempotency.ConfirmedWriteResult
import redwingcross.request.idempotency.FoundVersion
import redwingcross.request.idempotency.Nonce
import redwingcross.request.idempotency.RecordVersion
import kotlin.time.Duration

/**
 * Performs [put] and retries it until its outcome is known, or until [deadline], a time of [clock].
 *
 * The value must contain [nonce], unique to this put, at the place that [nonceOf] reads. If the response to the write
 * is lost, the object is read back: the nonce confirms the write, another newer value is a conflict, and otherwise the
 * same write is repeated.
 */
suspend fun PlatformStore.writeConfirmed(
    put: ConditionalWrite.Put,
    nonce: Nonce,
    deadline: Duration,
    clock: MonotonicClock,
    nonceOf: (JsonElement) -> Nonce? = ::nonceField,
): ConfirmedWriteResult {
    var state = ConfirmedWrite(nonce, put.expected?.let { RecordVersion(it.value) }, deadline)
    var effect: ConfirmedWriteEffect = ConfirmedWriteEffect.Write
    while (true) {
        val event = when (val call = effect) {
            ConfirmedWriteEffect.Write -> write(put).toConfirmedWrite()

            ConfirmedWriteEffect.Read -> read(put.key).toConfirmedWrite(nonceOf)

            is ConfirmedWriteEffect.Wait -> {
                delay(call.duration)
                ConfirmedWriteEvent.WaitElapsed
            }

            is ConfirmedWriteEffect.Finish -> return call.result
        }
        val step = state.next(event, clock.now())
        state = step.state
        effect = step.effects.single()
    }
}

/** Returns the text field `nonce` of a JSON object, or null if [value] has none. */
fun nonceField(value: JsonElement): Nonce? =
    ((value as? JsonObject)?.get("nonce") as? JsonPrimitive)?.contentOrNull?.let(::Nonce)

private fun PlatformResult<WriteAnswer>.toConfirmedWrite(): ConfirmedWriteEvent = when (this) {
    is PlatformResult.Answered -> when (val answer = value) {
        is WriteAnswer.Written -> ConfirmedWriteEvent.Written(RecordVersion(answer.version.value))
        WriteAnswer.Conflict -> ConfirmedWriteEvent.Conflict
    }

    is PlatformResult.Unavailable -> ConfirmedWriteEvent.NotSent(detail)

    is PlatformResult.OutcomeUnknown -> ConfirmedWriteEvent.Lost(detail)
}

private fun PlatformResult<StoredObject?>.toConfirmedWrite(nonceOf: (JsonElement) -> Nonce?): ConfirmedWriteEvent =
    when (this) {
        is PlatformResult.Answered ->
            ConfirmedWriteEvent.Read(value?.let { FoundVersion(RecordVersion(it.version.value), nonceOf(it.value)) })

        is PlatformResult.Unavailable -> ConfirmedWriteEvent.ReadFailed(detail)

        is PlatformResult.OutcomeUnknown -> ConfirmedWriteEvent.ReadFailed(detail)
    }
