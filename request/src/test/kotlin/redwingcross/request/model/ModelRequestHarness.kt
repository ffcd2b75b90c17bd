package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.NotRunReason
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotRequest
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What may happen next; the attempt that it happens to is picked at random, so old attempts go on late. */
enum class Happening {
    GRANT,
    REFUSE,
    HEAD,
    TOKEN,
    NEXT_TOKENS,
    DUPLICATE,
    SKIP,
    KEEP_ALIVE,
    END,
    CUT,
    NOT_SENT,
    REJECTED,
    OTHER_INCARNATION,
    CROSS,
    HEADLESS_CROSS,
    SILENCE,
    SHORT_WAIT,
    DEADLINE,
    CALLER_LOST,
    OUTPUT_TAKEN,
}

/** A back end's side of one attempt: what it would send if nothing went wrong. */
private class FakeAttempt(val id: AttemptId, resumeAt: Long) {
    var position = resumeAt
    var isHeadSent = false

    /** The connection carries the answer of another request from now on. */
    var isCrossed = false
    var wasNotSent = false
    var hasBegun = false

    /** Some token was lost on the way. */
    var hasSkipped = false
}

/** Drives the state machine and compares it with the plain statement of what a caller may see. */
internal class ModelRequestHarness(private val answerLength: Long) {
    private val request = SlotRequest(
        RequestId("r"),
        Customer("c"),
        ServiceName("m"),
        priority = 0,
        heldBytes = 1,
        deadline = 60.seconds,
    )
    private val attempts = mutableListOf<FakeAttempt>()
    private val output = mutableListOf<String>()
    private val heldSlots = mutableSetOf<SlotId>()
    private val acquires = ArrayDeque<SlotRequest>()
    private val failedServers = mutableSetOf<BackendServer>()
    private var granted = 0L
    private var now = Duration.ZERO
    private var state: ModelRequestState
    var result: ModelRequestResult? = null
        private set
    val attemptCount: Int get() = attempts.size

    init {
        val first = startModelRequest(request)
        state = first.state
        first.effects.forEach(::carryOut)
    }

    fun happen(happening: Happening, pick: Int) {
        val attempt = attempts.getOrNull(if (attempts.isEmpty()) 0 else pick % attempts.size)
        when (happening) {
            Happening.GRANT -> if (acquires.isNotEmpty()) answerAcquire(grant())
            Happening.REFUSE ->
                if (acquires.isNotEmpty()) answerAcquire(SlotAnswer.Refused(NotRunReason.QUEUE_FULL, 1.seconds))
            Happening.SILENCE -> pass(10.seconds)
            Happening.SHORT_WAIT -> pass(1.seconds)
            Happening.DEADLINE -> pass(60.seconds)
            Happening.CALLER_LOST -> step(ModelRequestEvent.CallerLost(CallerLoss.GONE))
            Happening.OUTPUT_TAKEN -> step(ModelRequestEvent.OutputTaken)
            else -> attempt?.let { happenTo(it, happening, pick) }
        }
    }

    private fun happenTo(attempt: FakeAttempt, happening: Happening, pick: Int) {
        if (attempt.wasNotSent) return
        if (happening != Happening.NOT_SENT) attempt.hasBegun = true
        when (happening) {
            Happening.HEAD -> head(attempt, attempt.id)
            Happening.TOKEN -> token(attempt)
            Happening.NEXT_TOKENS -> {
                if (!attempt.isHeadSent) head(attempt, attempt.id)
                repeat(pick % 4 + 1) { token(attempt) }
            }
            Happening.DUPLICATE -> {
                attempt.position = (attempt.position - 1).coerceAtLeast(0)
                token(attempt)
            }
            Happening.SKIP -> {
                attempt.position = (attempt.position + 1).coerceAtMost(answerLength)
                attempt.hasSkipped = true
                token(attempt)
            }
            Happening.KEEP_ALIVE -> step(ModelRequestEvent.KeepAliveReceived(attempt.id))
            Happening.END -> end(attempt)
            else -> breakDown(attempt, happening, pick)
        }
    }

    private fun breakDown(attempt: FakeAttempt, happening: Happening, pick: Int) {
        when (happening) {
            Happening.CUT -> fail(attempt, AttemptFault.Broken("cut"))
            Happening.NOT_SENT -> if (!attempt.hasBegun) {
                attempt.wasNotSent = true
                fail(attempt, AttemptFault.NotSent(NotRunReason.CONNECT_FAILED, "refused"))
            }
            Happening.REJECTED -> fail(attempt, AttemptFault.Rejected(503, "boot-1"))
            Happening.OTHER_INCARNATION ->
                step(ModelRequestEvent.AnswerStarted(attempt.id, attempt.id, "boot-2"))
            Happening.HEADLESS_CROSS -> if (!attempt.isHeadSent) {
                attempt.isCrossed = true
                if (pick % 2 == 0) token(attempt)
            }
            else -> {
                attempt.isCrossed = true
                head(attempt, AttemptId("of-another-request"))
            }
        }
    }

    private fun head(attempt: FakeAttempt, echoed: AttemptId) {
        attempt.isHeadSent = true
        step(ModelRequestEvent.AnswerStarted(attempt.id, if (attempt.isCrossed) AttemptId("x") else echoed, "boot-1"))
    }

    private fun token(attempt: FakeAttempt) {
        if (attempt.position >= answerLength) return
        val text = if (attempt.isCrossed) "text of another request" else trueText(attempt.position)
        step(ModelRequestEvent.TokenReceived(attempt.id, AnswerToken(TokenOffset(attempt.position), text)))
        attempt.position += 1
    }

    /**
     * A back end sends the end marker after its last token. If a token before it was lost or is still to come, only the
     * stated length tells, as the tokens that arrived are continuous.
     */
    private fun end(attempt: FakeAttempt) {
        val isWhole = attempt.position == answerLength && !attempt.hasSkipped
        val total = TokenOffset(answerLength).takeUnless { isWhole || attempt.isCrossed }
        step(ModelRequestEvent.EndReceived(attempt.id, total))
    }

    private fun fail(attempt: FakeAttempt, fault: AttemptFault) =
        step(ModelRequestEvent.AttemptFailed(attempt.id, fault))

    private fun pass(duration: Duration) {
        now += duration
        step(ModelRequestEvent.Tick)
        state.wakeUpAt?.let { assertTrue(it > now, "a tick at $now left a timer of $it") }
    }

    private fun grant(): SlotAnswer {
        granted += 1
        val slot = Slot(SlotId(granted), BackendServer("server-$granted"), "127.0.0.1:1", incarnation = "boot-1")
        heldSlots += slot.id
        return SlotAnswer.Granted(slot)
    }

    private fun answerAcquire(answer: SlotAnswer) {
        acquires.removeFirst()
        step(ModelRequestEvent.SlotAnswered(answer, AttemptId("attempt-$granted")))
    }

    private fun step(event: ModelRequestEvent) {
        val transition = state.next(event, now)
        state = transition.state
        transition.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: ModelRequestEffect) {
        when (effect) {
            is ModelRequestEffect.Acquire -> {
                assertEquals(failedServers, effect.request.excluded)
                acquires += effect.request
            }
            is ModelRequestEffect.Dispatch -> {
                assertEquals(output.size.toLong(), effect.resumeAt.value, "resumed elsewhere than the output ends")
                attempts += FakeAttempt(effect.attempt, effect.resumeAt.value)
                assertTrue(attempts.size <= 3, "more than three attempts")
            }
            is ModelRequestEffect.Deliver -> {
                assertNull(result, "output after the end")
                output += effect.token.text
                assertEquals(trueAnswer().take(output.size), output, "the output is no prefix of the answer")
            }
            is ModelRequestEffect.KeepCallerAlive -> assertNull(result, "output after the end")
            is ModelRequestEffect.Release -> giveBack(effect.slot)
            is ModelRequestEffect.Abandon -> giveBack(effect.slot)
            is ModelRequestEffect.Finish -> finish(effect.result)
        }
    }

    private fun giveBack(slot: Slot) {
        assertTrue(heldSlots.remove(slot.id), "slot ${slot.id} was given back twice")
        failedServers += slot.server
    }

    private fun finish(finished: ModelRequestResult) {
        assertNull(result, "finished twice")
        result = finished
        if (finished is ModelRequestResult.Complete) assertEquals(trueAnswer(), output, "complete without the whole")
        if (finished is ModelRequestResult.Refused) {
            assertTrue(attempts.all { it.wasNotSent }, "reported as not run after a byte was sent")
        }
    }

    /** Lets the time run out and answers what is still open. */
    fun end() {
        repeat(3) {
            pass(60.seconds)
            while (acquires.isNotEmpty()) answerAcquire(grant())
        }
        assertTrue(heldSlots.isEmpty(), "slots were not given back: $heldSlots")
    }

    private fun trueAnswer(): List<String> = (0 until answerLength).map(::trueText)

    private fun trueText(offset: Long): String = "t$offset"
}
