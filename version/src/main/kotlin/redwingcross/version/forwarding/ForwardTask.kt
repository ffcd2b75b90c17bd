package redwingcross.version.forwarding

import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.ExchangeFailure
import redwingcross.connection.http.PendingExchange
import redwingcross.connection.http.ResponseHead
import redwingcross.connection.http.ResponseListener
import redwingcross.connection.http.copyEndToEndTo
import redwingcross.request.Customer
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.forward.ForwardDecision
import redwingcross.request.forward.ForwardLimits
import redwingcross.request.forward.ForwardState
import redwingcross.request.forward.ForwardStep
import redwingcross.request.forward.InboundRequest
import redwingcross.request.forward.OfferResult
import redwingcross.request.stream.EventSplitter
import redwingcross.version.fleet.Route
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** One admitted request: where it may go, for whom, and until when. */
class ForwardJob(
    val exchange: CallerExchange,
    val request: InboundRequest,
    val route: Route,
    val service: ServiceName,
    val customer: Customer?,
    /** 0 is the most urgent; the customer's own goes before that of the route. */
    val priority: Int,
    val arrivedAt: Duration,
)

/**
 * Carries one request of a caller to back ends and the answer back. It owns the exchange with the caller and the one
 * with the back end; what to do when an offer fails is decided by [ForwardDecision].
 */
class ForwardTask(private val job: ForwardJob, private val context: ForwardContext) {
    private val exchange = job.exchange
    private val route = job.route
    private val isStream = route.repeatability.isStream
    private val deadline = job.arrivedAt + minOf(job.request.callerTimeout ?: route.timeout, route.timeout)
    private var state = ForwardState(ForwardLimits(route.repeatability, route.maximumSends, deadline))
    private val splitter = EventSplitter()
    private val plainBody = ByteArrayOutputStream(0)
    private var offer: Offer? = null
    private var timer = CancelTimer {}
    private var lastEvent: Long? = job.request.generation?.resumeAfter
    private var firstEventAt: Duration? = null
    private var finished = false

    /** The group that serves the request at the moment. */
    val group: GroupId? get() = offer?.backend?.group

    /** When the current back end last made progress, or got the request. */
    var progressAt: Duration = job.arrivedAt
        private set

    /** Whether the current back end has sent at least one event. */
    val hasProgressed: Boolean get() = offer?.hasEvents == true

    fun start() {
        exchange.onDisconnect = ::callerDisconnected
        exchange.onWritable = { offer?.pending?.resumeReading() }
        timer = context.runLater(deadline - context.clock.now(), ::deadlinePassed)
        offer()
    }

    private fun offer() {
        val now = context.clock.now()
        val choice = context.choose(job.service, job.request.generation?.model, state.offered.toSet())
        if (choice !is BackendChoice.Chosen) {
            unavailable(choice)
            return
        }
        val backend = choice.backend
        state = state.copy(offered = state.offered + backend.server)
        progressAt = now
        splitter.reset()
        plainBody.reset()
        val head = context.codec.encode(
            exchange.head,
            job.request,
            BackendRequestFields(backend.server, job.customer, deadline - now, job.priority, lastEvent),
        )
        val next = Offer(backend, now)
        offer = next
        context.offerStarted(backend, this)
        next.pending = context.send(backend, head, exchange.body, route.repeatability, ::isForAttempt, next)
    }

    private fun isForAttempt(answer: ResponseHead): Boolean = context.codec.metadata(job.request, answer).isForAttempt

    private fun unavailable(choice: BackendChoice) {
        val step = when {
            state.answerStarted -> ForwardStep.BreakOff
            state.mayHaveRun -> ForwardStep.ReportUnknown
            else -> ForwardStep.Refuse
        }
        conclude(step, if (choice == BackendChoice.AllBusy) "all_busy" else "none_serving")
    }

    private fun offerEnded(ended: Offer, end: OfferResult, detail: String) {
        if (finished || offer !== ended) return
        release()
        val mayHaveRun = end != OfferResult.NotSent && end != OfferResult.Declined
        state = state.copy(
            sends = state.sends + if (end == OfferResult.NotSent) 0 else 1,
            mayHaveRun = state.mayHaveRun || mayHaveRun,
        )
        context.offerEnded(ended.backend, end)
        val now = context.clock.now()
        val step = ForwardDecision.afterOffer(state, end, now) { context.tryAcquireRetry(job.service) }
        context.log(
            "offer_ended",
            arrayOf(
                "attempt" to job.request.attempt,
                "server" to ended.backend.server,
                "group" to ended.backend.group,
                "end" to end,
                "detail" to detail,
                "after" to (now - ended.startedAt),
                "events" to lastEvent,
                "next" to step,
            ),
        )
        if (step is ForwardStep.OfferAgain) offer() else conclude(step, detail, ended)
    }

    private fun conclude(step: ForwardStep, reason: String, ended: Offer? = null) {
        when (step) {
            ForwardStep.PassError -> ended?.let(::passError)
            ForwardStep.Refuse -> answerOwn(SERVICE_UNAVAILABLE, context.retryAfter(job))
            ForwardStep.ReportUnknown -> answerOwn(BAD_GATEWAY, null)
            ForwardStep.ReportTimeout -> answerOwn(if (state.sends == 0) SERVICE_UNAVAILABLE else GATEWAY_TIMEOUT, null)
            ForwardStep.BreakOff -> exchange.abort()
            is ForwardStep.OfferAgain -> error("an offer is not a conclusion")
        }
        finish(step.toString(), reason)
    }

    private fun answerOwn(status: Int, retryAfter: Duration?) {
        exchange.respond(status, context.codec.refusal(retryAfter), ByteArray(0))
    }

    private fun passError(ended: Offer) {
        val head = ended.head ?: return answerOwn(BAD_GATEWAY, null)
        val headers = DefaultHttpHeaders()
        head.headers.copyEndToEndTo(headers)
        exchange.respond(head.status, headers, plainBody.toByteArray())
    }

    private fun finish(outcome: String, reason: String) {
        if (finished) return
        finished = true
        timer.cancel()
        release()
        val now = context.clock.now()
        context.finished(
            this,
            ForwardOutcome(
                job,
                outcome,
                reason,
                state.sends,
                firstEventAt?.let { it - job.arrivedAt },
                now - job.arrivedAt,
            ),
        )
    }

    private fun release() {
        val current = offer ?: return
        offer = null
        context.offerReleased(current.backend, this)
    }

    private fun callerDisconnected() {
        offer?.pending?.cancel()
        finish("caller_left", "closed")
    }

    private fun deadlinePassed() {
        if (finished) return
        val sent = offer?.pending?.wasSent == true
        offer?.pending?.cancel()
        if (sent) state = state.copy(sends = state.sends + 1, mayHaveRun = true)
        conclude(ForwardDecision.expired(state), "deadline")
    }

    /** The group of the request has lost a member; its streams go on elsewhere. */
    fun onGroupLost(): Unit = move("group_lost")

    /** The request makes no progress for so long that it is moved without waiting for a finding. */
    fun abandonStalled(): Unit = move("stalled")

    private fun move(detail: String) {
        val current = offer ?: return
        if (!ForwardDecision.canRedispatch(state)) return
        current.pending?.cancel()
        offerEnded(current, OfferResult.Stalled, detail)
    }

    private inner class Offer(val backend: ChosenBackend, val startedAt: Duration) : ResponseListener {
        var pending: PendingExchange? = null
        var head: ResponseHead? = null
        var hasEvents = false
        private var isError = false

        override fun onHead(head: ResponseHead) {
            this.head = head
            val metadata = context.codec.metadata(job.request, head)
            metadata.coldFor?.let { context.coldReported(backend.server, it) }
            metadata.faultyEngine?.let { context.faultReported(backend, it) }
            val success = head.status in SUCCESS
            when {
                metadata.declined -> drop(OfferResult.Declined, if (metadata.misdirected) "misdirected" else "declined")
                metadata.encoded || !metadata.signed && success -> drop(OfferResult.Lost, "not_the_back_ends_answer")
                !success -> isError = true
                else -> Unit
            }
        }

        private fun drop(end: OfferResult, detail: String) {
            pending?.cancel()
            offerEnded(this, end, detail)
        }

        override fun onData(bytes: ByteArray) {
            if (finished || offer !== this) return
            if (isStream && !isError) relay(bytes) else collect(bytes)
        }

        private fun collect(bytes: ByteArray) {
            if (state.answerStarted) {
                exchange.write(bytes)
                if (!exchange.isWritable) pending?.pauseReading()
                return
            }
            plainBody.write(bytes)
            if (plainBody.size() > LARGEST_COLLECTED_BYTES && !isError) {
                beginAnswer()
                exchange.write(plainBody.toByteArray())
                plainBody.reset()
            }
        }

        private fun relay(bytes: ByteArray) {
            val batch = splitter.accept(bytes) ?: return
            val now = context.clock.now()
            val expected = lastEvent
            val first = batch.firstId
            if (expected != null && first != null && first != expected + 1) {
                drop(OfferResult.Lost, "event_$first after_$expected")
                return
            }
            if (hasEvents) context.health.recordPause(backend.server, backend.kind, now - progressAt)
            hasEvents = true
            progressAt = now
            if (firstEventAt == null) firstEventAt = now
            if (!state.answerStarted) beginAnswer()
            batch.lastId?.let { lastEvent = it }
            exchange.write(batch.bytes)
            if (!exchange.isWritable) pending?.pauseReading()
        }

        private fun beginAnswer() {
            val original = head ?: return
            val headers = DefaultHttpHeaders()
            original.headers.copyEndToEndTo(headers)
            exchange.beginStream(original.status, headers)
            state = state.copy(answerStarted = true)
        }

        override fun onEnd() {
            if (finished || offer !== this) return
            when {
                isError -> offerEnded(this, OfferResult.Failed, "status_${head?.status}")
                isStream && (splitter.pendingBytes > 0 || !state.answerStarted) ->
                    offerEnded(this, OfferResult.Lost, "stream_incomplete")
                else -> succeed()
            }
        }

        private fun succeed() {
            val now = context.clock.now()
            context.offerEnded(backend, null)
            if (!isStream) context.health.recordPause(backend.server, backend.kind, now - startedAt)
            state = state.copy(sends = state.sends + 1)
            if (state.answerStarted) {
                exchange.endStream()
            } else {
                val headers = DefaultHttpHeaders()
                head?.headers?.copyEndToEndTo(headers)
                exchange.respond(head?.status ?: OK, headers, plainBody.toByteArray())
            }
            finish("served", "complete")
        }

        override fun onFailure(failure: ExchangeFailure) {
            val end = if (failure == ExchangeFailure.NOT_CONNECTED) OfferResult.NotSent else OfferResult.Lost
            offerEnded(this, end, failure.name.lowercase())
        }
    }

    private companion object {
        const val OK = 200
        const val BAD_GATEWAY = 502
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        val SUCCESS = 200..299

        /** A longer answer is passed on as it arrives and can't be repeated any more. */
        const val LARGEST_COLLECTED_BYTES = 262_144
    }
}

/** How a request ended, for logs and metrics. */
data class ForwardOutcome(
    val job: ForwardJob,
    val outcome: String,
    val reason: String,
    val sends: Int,
    val firstEvent: Duration?,
    val total: Duration,
)
