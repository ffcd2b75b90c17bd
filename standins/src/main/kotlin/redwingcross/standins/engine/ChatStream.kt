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
    private val isResponseLost = fault == RequestFault.LOSE_ANSWER
    private var lastWrite = TimeSource.Monotonic.markNow()
    private var lastCheck = TimeSource.Monotonic.markNow()
    private var noResponseSince: TimeSource.Monotonic.ValueTimeMark? = null
    private val bootIds = HashMap<String, String>()

    /** Sends the tokens starting at offset [from] and returns how the attempt ended. */
    suspend fun send(tokens: TokenSequence, from: Int): RunEnd = try {
        (from until tokens.length).firstNotNullOfOrNull { offset -> sendToken(offset, from, tokens) } ?: complete()
    } catch (_: IOException) {
        RunEnd.CALLER_GONE
    }

    /** Waits until the token at [offset] is due and sends it; returns how the stream ended, or null if it goes on. */
    private suspend fun sendToken(offset: Int, from: Int, tokens: TokenSequence): RunEnd? {
        awaitTokenTime(
            if (offset == from) { state -> state.settings.firstToken } else { state -> state.settings.tokenInterval },
        )
        return when {
            fault == RequestFault.CUT && offset >= (from + tokens.length) / 2 -> RunEnd.CUT
            areMembersLost() -> RunEnd.CUT
            !task.execute { state, _ -> state.recordToken(key) } -> RunEnd.CANCELLED
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
        if (isResponseLost) return
        exchange.outputStream.write(text.encodeToByteArray())
        exchange.outputStream.flush()
        lastWrite = TimeSource.Monotonic.markNow()
    }

    /** Waits until the next token is due. Sends keep-alive comments meanwhile, so that the reader does not time out. */
    private suspend fun awaitTokenTime(time: (EngineState) -> Duration) {
        val (total, keepAliveInterval) = task.read { state, _ ->
            time(state) * (state.faults.slowFactor ?: 1.0) to state.settings.keepAliveInterval
        }
        var remaining = total
        while (remaining > Duration.ZERO) {
            val step = minOf(remaining, keepAliveInterval)
            delay(step)
            remaining -= step
            gate.awaitUnfrozen()
            if (lastWrite.elapsedNow() >= keepAliveInterval) write(": keep-alive\n\n")
        }
        gate.awaitUnfrozen()
    }

    /**
     * Whether a member is lost: at once if it restarted or can't be running, and after
     * [EngineSettings.memberLossTimeout] without a response.
     */
    private suspend fun areMembersLost(): Boolean {
        if (members.size < 2 || lastCheck.elapsedNow() < memberCheckInterval) return false
        lastCheck = TimeSource.Monotonic.markNow()
        val statuses = check.query(members)
        val isChanged =
            statuses.any { (member, status) ->
                status is MemberStatus.NotRunning ||
                    status is MemberStatus.Reported &&
                    bootIds.getOrPut(member.address) { status.report.bootId } != status.report.bootId
            }
        val hasNoResponse = statuses.any { it.second is MemberStatus.NoResponse }
        val since = if (hasNoResponse) noResponseSince ?: TimeSource.Monotonic.markNow() else null
        noResponseSince = since
        return isChanged ||
            (since != null && since.elapsedNow() >= task.read { state, _ -> state.settings.memberLossTimeout })
    }
}
