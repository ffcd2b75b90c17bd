package redwingcross.request.idempotency

import redwingcross.request.AttemptId
import redwingcross.request.Outcome
import redwingcross.request.ProcessName
import redwingcross.request.service.ServiceAnswer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against records above the platform's size limit, and against a replay of an answer that was too large to store
 * that returns a wrong body or runs the call again.
 */
class StoredAnswerTest {
    private fun started(attempt: String) =
        NonIdempotentCall(CallContext(AttemptId(attempt), ProcessName("gateway"), BodyDigest("digest"), 10.seconds))
            .next(CallEvent.Started, Duration.ZERO).state

    private fun storedAnswer(bytes: Int): IdempotencyRecord {
        val dispatched = started("first").next(CallEvent.Written(RecordVersion(1)), 1.seconds).state
        val answer = ServiceAnswer(201, null, ByteArray(bytes))
        val step = dispatched.next(CallEvent.DispatchEnded(Outcome.Completed(answer)), 2.seconds)
        return assertIs<CallEffect.Write>(step.effects.single()).record
    }

    private fun replay(record: IdempotencyRecord): NonIdempotentResult {
        val inspecting = started("second").next(CallEvent.Conflict, 3.seconds).state
        val step = inspecting.next(CallEvent.Read(StoredRecord(RecordVersion(2), record)), 3.seconds)
        return assertIs<CallEffect.Finish>(step.effects.single()).result
    }

    @Test
    fun `an answer above 64 KiB is replayed as its status only`() {
        val record = storedAnswer(bytes = 65_537)

        assertNull(record.answer?.body)
        assertEquals(NonIdempotentResult.CompletedWithoutBody(201), replay(record))
    }

    @Test
    fun `an answer of 64 KiB is replayed completely`() {
        val replayed = assertIs<NonIdempotentResult.Answered>(replay(storedAnswer(bytes = 65_536)))

        assertEquals(65_536, replayed.answer.body.size)
        assertEquals(true, replayed.replayed)
    }
}
