package redwingcross.standins.http

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import redwingcross.request.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Lets a request take effect and returns the response, without any fault. */
typealias RequestEffect = suspend (Request) -> Response

/**
 * Applies the current [Faults] before and after the effect of each request. Runs on the event loop of a
 * [StandinServer].
 */
class FaultInjection(private val clock: MonotonicClock = MonotonicClock.system) {
    private var frozenUntil = Duration.ZERO
    private var silentUpTo = ConnectionNumber(0)
    private var newestConnection = ConnectionNumber(0)
    private var awaitingSwap: CompletableDeferred<Pair<Response, CompletableDeferred<Response>>>? = null

    /** Faults that remain to be applied; the counters decrease as they are used up. */
    var faults = Faults()
        private set

    /** Completed when an outage starts, so that waiting long polls end; replaced when the outage ends. */
    var outage = CompletableDeferred<Unit>()
        private set

    suspend fun handle(request: Request, connection: ConnectionNumber, effect: RequestEffect): StandinReply {
        newestConnection = ConnectionNumber(maxOf(newestConnection.value, connection.value))
        if (request.uri.path == FAULTS_PATH) return StandinReply.Respond(handleFaults(request))
        if (request.uri.path.startsWith(TEST_PREFIX)) return StandinReply.Respond(effect(request))
        waitWhileFrozen()
        return failBeforeEffect(connection) ?: respondAfterEffect(connection, effect(request))
    }

    /** Uses up one stale read; true if the current read returns the state before the newest write. */
    fun consumeStaleRead(): Boolean = consume(faults.staleReads) { copy(staleReads = staleReads - 1) }

    /** Uses up one delayed write; true if the current write takes effect only after its connection was cut. */
    fun consumeDelayedWrite(): Boolean = consume(faults.delayWriteNext) { copy(delayWriteNext = delayWriteNext - 1) }

    private fun failBeforeEffect(connection: ConnectionNumber): StandinReply? = when {
        isSilent(connection) -> StandinReply.Silent
        consume(faults.silentNext) { copy(silentNext = silentNext - 1) } -> StandinReply.Silent
        faults.down || consume(faults.cutNext) { copy(cutNext = cutNext - 1) } -> StandinReply.Cut
        else -> null
    }

    private suspend fun respondAfterEffect(connection: ConnectionNumber, response: Response): StandinReply {
        delay(faults.lateMillis.milliseconds)
        waitWhileFrozen()
        return when {
            isSilent(connection) -> StandinReply.Silent
            response.status == LOST || faults.down -> StandinReply.Cut
            consume(faults.loseAnswerNext) { copy(loseAnswerNext = loseAnswerNext - 1) } -> StandinReply.Cut
            else -> StandinReply.Respond(swap(response))
        }
    }

    /** Swaps two consecutive responses. The first one is sent unchanged if no other follows within [SWAP_TIMEOUT]. */
    private suspend fun swap(response: Response): Response {
        awaitingSwap?.let { first ->
            awaitingSwap = null
            val own = CompletableDeferred<Response>()
            first.complete(response to own)
            return own.await()
        }
        if (!consume(faults.crossNext) { copy(crossNext = crossNext - 1) }) return response
        val partner = CompletableDeferred<Pair<Response, CompletableDeferred<Response>>>().also { awaitingSwap = it }
        val (other, partnerResponse) = withTimeoutOrNull(SWAP_TIMEOUT) { partner.await() }
            ?: return response.also { awaitingSwap = null }
        partnerResponse.complete(response)
        return other
    }

    private fun handleFaults(request: Request): Response {
        if (request.method != Method.PUT) return json(Json.encodeToString(faults))
        return try {
            replaceFaults(Json.decodeFromString<Faults>(request.bodyString()))
            Response(Status.NO_CONTENT)
        } catch (malformed: SerializationException) {
            Response(Status.BAD_REQUEST).body("$FAULTS_PATH: ${malformed.message}")
        }
    }

    private fun replaceFaults(replacement: Faults) {
        faults = replacement
        frozenUntil = clock.now() + replacement.freezeMillis.milliseconds
        if (replacement.silenceOpen) silentUpTo = newestConnection
        if (replacement.down) outage.complete(Unit)
        if (outage.isCompleted && !replacement.down) outage = CompletableDeferred()
    }

    private fun isSilent(connection: ConnectionNumber) = connection.value <= silentUpTo.value

    private suspend fun waitWhileFrozen() {
        while (clock.now() < frozenUntil) delay(frozenUntil - clock.now())
    }

    private fun consume(remaining: Int, next: Faults.() -> Faults): Boolean {
        if (remaining > 0) faults = faults.next()
        return remaining > 0
    }

    companion object {
        const val FAULTS_PATH = "/standin/faults"

        /** Test paths are exempt from all faults. */
        private const val TEST_PREFIX = "/standin/"

        /** Status of a response that must not reach the caller although the request takes effect. */
        val LOST = Status(599, "response lost")
        private val SWAP_TIMEOUT = 2.seconds
    }
}

/** A response with the JSON body [text]. */
fun json(text: String, status: Status = Status.OK): Response =
    Response(status).header("Content-Type", "application/json").body(text)
