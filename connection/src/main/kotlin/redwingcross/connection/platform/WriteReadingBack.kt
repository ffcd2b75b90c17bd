package redwingcross.connection.platform

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import redwingcross.request.MonotonicClock
import redwingcross.request.idempotency.Found
import redwingcross.request.idempotency.Nonce
import redwingcross.request.idempotency.ReadBack
import redwingcross.request.idempotency.ReadBackEffect
import redwingcross.request.idempotency.ReadBackEvent
import redwingcross.request.idempotency.ReadBackResult
import redwingcross.request.idempotency.RecordVersion
import kotlin.time.Duration

/**
 * Carries out [put] until it is known whether it is in effect, or until [deadline], a reading of [clock].
 *
 * The value must carry [nonce], unique to this put, where [nonceOf] finds it. A lost answer is followed by a read: the
 * nonce shows that the write is in effect, another newer value shows that it is not, and otherwise the same write is
 * repeated.
 */
suspend fun PlatformStore.writeReadingBack(
    put: ConditionalWrite.Put,
    nonce: Nonce,
    deadline: Duration,
    clock: MonotonicClock,
    nonceOf: (JsonElement) -> Nonce? = ::nonceField,
): ReadBackResult {
    var state = ReadBack(nonce, put.expected?.let { RecordVersion(it.value) }, deadline)
    var effect: ReadBackEffect = ReadBackEffect.Write
    while (true) {
        val event = when (val call = effect) {
            ReadBackEffect.Write -> write(put).toReadBack()

            ReadBackEffect.Read -> read(put.key).toReadBack(nonceOf)

            is ReadBackEffect.Wait -> {
                delay(call.duration)
                ReadBackEvent.Woken
            }

            is ReadBackEffect.Finish -> return call.result
        }
        val step = state.next(event, clock.now())
        state = step.state
        effect = step.effects.single()
    }
}

/** The text field `nonce` of a JSON object. */
fun nonceField(value: JsonElement): Nonce? =
    ((value as? JsonObject)?.get("nonce") as? JsonPrimitive)?.contentOrNull?.let(::Nonce)

private fun PlatformResult<WriteAnswer>.toReadBack(): ReadBackEvent = when (this) {
    is PlatformResult.Answered -> when (val answer = value) {
        is WriteAnswer.Written -> ReadBackEvent.Written(RecordVersion(answer.version.value))
        WriteAnswer.Conflict -> ReadBackEvent.Conflict
    }

    is PlatformResult.Unavailable -> ReadBackEvent.NotSent(detail)

    is PlatformResult.OutcomeUnknown -> ReadBackEvent.Lost(detail)
}

private fun PlatformResult<StoredObject?>.toReadBack(nonceOf: (JsonElement) -> Nonce?): ReadBackEvent = when (this) {
    is PlatformResult.Answered ->
        ReadBackEvent.Read(value?.let { Found(RecordVersion(it.version.value), nonceOf(it.value)) })

    is PlatformResult.Unavailable -> ReadBackEvent.Unread(detail)

    is PlatformResult.OutcomeUnknown -> ReadBackEvent.Unread(detail)
}
