package redwingcross.standins.engine

import io.undertow.server.HttpServerExchange
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonPrimitive
import redwingcross.connection.engine.OrderedMember
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val memberCheckInterval = 500.milliseconds

/** Sends the tokens of one attempt as server-sent events. */
internal class ChatStream(
    private val exchange: HttpServerExchange,
    private val task: EngineTask,
    private val gate: FaultGate,
    private val check: MemberCheck,
    private val members: List<OrderedMember>,
    private val key: Long,
    private val fault: RequestFault,
) {
    private val isHidden = fault == RequestFault.LOSE_ANSWER
    private var lastWrite = TimeSource.Monotonic.markNow()
    private var lastCheck = TimeSource.Monotonic.markNow()
    private var silentSince: TimeSource.Monotonic.ValueTimeMark? = null
    private val bootIds = HashMap<String, String>()

    /** Sends the tokens from [from] on and returns how the attempt ended. */
    suspend fun send(tokens: TokenSequence, from: Int): RunEnd = try {
        (from until tokens.length).firstNotNullOfOrNull { offset -> endBefore(offset, from, tokens) } ?: complete()
    } catch (_: IOException) {
        RunEnd.CALLER_GONE
    }

    /** Waits for the token at [offset] and sends it; returns how the stream ended if it did. */
    private suspend fun endBefore(offset: Int, from: Int, tokens: TokenSequence): RunEnd? {
        pause(if (offset == from) { state -> state.settings.firstToken } else { state -> state.settings.tokenInterval })
        return when {
            fault == RequestFault.CUT && offset >= (from + tokens.length) / 2 -> RunEnd.CUT
            areMembersLost() -> RunEnd.CUT
            !task.ask { state, _ -> state.sent(key) } -> RunEnd.CANCELLED
            else -> {
                write(event(offset, tokens.token(offset)))
                null
            }
        }
    }

    private fun complete(): RunEnd {
        write("data: [DONE]\n\n")
        return RunEnd.COMPLETED
    }

    private fun event(offset: Int, token: String): String =
        "id: $offset\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":${JsonPrimitive(token)}}}]}\n\n"

    private fun write(text: String) {
        if (isHidden) return
        exchange.outputStream.write(text.encodeToByteArray())
        exchange.outputStream.flush()
        lastWrite = TimeSource.Monotonic.markNow()
    }

    /** Waits for the next token; comment lines tell the reader in the meantime that the engine lives. */
    private suspend fun pause(time: (EngineState) -> Duration) {
        val (whole, keepAlive) = task.read { state, _ ->
            time(state) * (state.faults.slowFactor ?: 1.0) to state.settings.keepAlive
        }
        var left = whole
        while (left > Duration.ZERO) {
            val step = minOf(left, keepAlive)
            delay(step)
            left -= step
            gate.awaitThaw()
            if (lastWrite.elapsedNow() >= keepAlive) write(": keep-alive\n\n")
        }
        gate.awaitThaw()
    }

    /** A member that started anew or is gone ends the stream at once, a silent one after a while. */
    private suspend fun areMembersLost(): Boolean {
        if (members.size < 2 || lastCheck.elapsedNow() < memberCheckInterval) return false
        lastCheck = TimeSource.Monotonic.markNow()
        val answers = check.answers(members)
        val isChanged =
            answers.any { (member, answer) ->
                answer is MemberAnswer.Gone ||
                    answer is MemberAnswer.Here &&
                    bootIds.getOrPut(member.address) { answer.report.bootId } != answer.report.bootId
            }
        val isSilent = answers.any { it.second is MemberAnswer.Silent }
        val since = if (isSilent) silentSince ?: TimeSource.Monotonic.markNow() else null
        silentSince = since
        return isChanged || (since != null && since.elapsedNow() >= task.read { state, _ -> state.settings.memberLoss })
    }
}
