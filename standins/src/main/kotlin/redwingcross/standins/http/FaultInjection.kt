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

/** Lets a request take effect and produces the answer, without any fault. */
typealias Effect = suspend (Request) -> Response

/** Applies the ordered [Faults] around the effect of each request. Runs on the event loop of a [StandinServer]. */
class FaultInjection(private val clock: MonotonicClock = MonotonicClock.system) {
    private var frozenUntil = Duration.ZERO
    private var silentUpTo = ConnectionNumber(0)
    private var newest = ConnectionNumber(0)
    private var crossing: CompletableDeferred<Pair<Response, CompletableDeferred<Response>>>? = null

    /** Faults that are still to be applied. */
    var faults = Faults()
        private set

    /** Completed and replaced when an outage starts, so that waiting long polls end. */
    var outage = CompletableDeferred<Unit>()
        private set

    suspend fun handle(request: Request, connection: ConnectionNumber, effect: Effect): StandinReply {
        newest = ConnectionNumber(maxOf(newest.value, connection.value))
        if (request.uri.path == FAULTS_PATH) return StandinReply.Answer(control(request))
        if (request.uri.path.startsWith(TEST_PREFIX)) return StandinReply.Answer(effect(request))
        waitWhileFrozen()
        return before(connection) ?: after(connection, effect(request))
    }

    /** True if the next read is to be answered from the past. */
    fun takeStaleRead(): Boolean = take(faults.staleReads) { copy(staleReads = staleReads - 1) }

    /** True if the next write is to take effect after its connection was cut. */
    fun takeDelayedWrite(): Boolean = take(faults.delayWriteNext) { copy(delayWriteNext = delayWriteNext - 1) }

    private fun before(connection: ConnectionNumber): StandinReply? = when {
        isSilent(connection) -> StandinReply.Silent
        take(faults.silentNext) { copy(silentNext = silentNext - 1) } -> StandinReply.Silent
        faults.down || take(faults.cutNext) { copy(cutNext = cutNext - 1) } -> StandinReply.Cut
        else -> null
    }

    private suspend fun after(connection: ConnectionNumber, response: Response): StandinReply {
        delay(faults.lateMillis.milliseconds)
        waitWhileFrozen()
        return when {
            isSilent(connection) -> StandinReply.Silent
            response.status == LOST || faults.down -> StandinReply.Cut
            take(faults.loseAnswerNext) { copy(loseAnswerNext = loseAnswerNext - 1) } -> StandinReply.Cut
            else -> StandinReply.Answer(cross(response))
        }
    }

    /** The first answer waits for the next one and the two are exchanged; without a second one it stays as it is. */
    private suspend fun cross(response: Response): Response {
        crossing?.let { first ->
            crossing = null
            val own = CompletableDeferred<Response>()
            first.complete(response to own)
            return own.await()
        }
        if (!take(faults.crossNext) { copy(crossNext = crossNext - 1) }) return response
        val partner = CompletableDeferred<Pair<Response, CompletableDeferred<Response>>>().also { crossing = it }
        val (other, reply) = withTimeoutOrNull(CROSS_WAIT) { partner.await() }
            ?: return response.also { crossing = null }
        reply.complete(response)
        return other
    }

    private fun control(request: Request): Response {
        if (request.method != Method.PUT) return json(Json.encodeToString(faults))
        return try {
            order(Json.decodeFromString<Faults>(request.bodyString()))
            Response(Status.NO_CONTENT)
        } catch (malformed: SerializationException) {
            Response(Status.BAD_REQUEST).body("$FAULTS_PATH: ${malformed.message}")
        }
    }

    private fun order(ordered: Faults) {
        faults = ordered
        frozenUntil = clock.now() + ordered.freezeMillis.milliseconds
        if (ordered.silenceOpen) silentUpTo = newest
        if (ordered.down) outage.complete(Unit)
        if (outage.isCompleted && !ordered.down) outage = CompletableDeferred()
    }

    private fun isSilent(connection: ConnectionNumber) = connection.value <= silentUpTo.value

    private suspend fun waitWhileFrozen() {
        while (clock.now() < frozenUntil) delay(frozenUntil - clock.now())
    }

    private fun take(remaining: Int, next: Faults.() -> Faults): Boolean {
        if (remaining > 0) faults = faults.next()
        return remaining > 0
    }

    companion object {
        const val FAULTS_PATH = "/standin/faults"

        /** Paths for tests stay reachable during every fault. */
        private const val TEST_PREFIX = "/standin/"

        /** Marks an answer that must not reach the caller although the request takes effect. */
        val LOST = Status(599, "answer lost")
        private val CROSS_WAIT = 2.seconds
    }
}

/** An answer with a JSON body. */
fun json(text: String, status: Status = Status.OK): Response =
    Response(status).header("Content-Type", "application/json").body(text)
