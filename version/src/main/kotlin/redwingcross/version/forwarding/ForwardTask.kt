package redwingcross.version.forwarding

import redwingcross.connection.http.ExchangeFailure
import redwingcross.connection.http.PendingExchange
import redwingcross.connection.http.ResponseHead
import redwingcross.connection.http.ResponseListener
import redwingcross.connection.http.runEvery
import redwingcross.request.forward.ForwardDecision
import redwingcross.request.forward.ForwardLimits
import redwingcross.request.forward.ForwardState
import redwingcross.request.forward.ForwardStep
import redwingcross.request.forward.OfferResult
import redwingcross.request.stream.EventBatch
import redwingcross.request.stream.EventSplitter
import kotlin.time.Duration

/**
 * Forwards one request of a caller to a back end and the response back. It owns the exchange with the caller and the
 * one with the back end. Each send to a back end is called an offer; [ForwardDecision] decides what happens when one
 * fails.
 */
class ForwardTask(val job: ForwardJob, private val context: ForwardContext) : WatchedRequest {
    private val exchange = job.exchange
    private val route = job.route
    override val isStream = route.repeatability.isStream
    private var state = ForwardState(ForwardLimits(route.repeatability, route.maximumSends, job.deadline))
    private val response = CallerResponse(exchange, context.codec.refusal)
    private val log = OfferLog(job.request.attempt, context.log)
    private val moves = MoveAttempts(this, context, log)
    private var offer: Offer? = null

    /**
     * The offer that a stream left because its back end was silent. Its exchange goes on until the next one has an
     * event, because silence doesn't show that the back end won't go on, and the next one may refuse the stream.
     */
    private var left: Offer? = null
    private var timer = CancelTimer {}
    private var lastEventId: Long? = job.request.resumeAfter.takeIf { route.repeatability.isStream }
    private var firstEventAt: Duration? = null

    private var finished = false
    private var waitingSince = Duration.ZERO
    private var waited = Duration.ZERO

    /** How long all back ends that could run the request still want none; null unless it ended for that reason. */
    private var backendPause: Duration? = null

    // A request that may have run can't be refused any more, so it counts like a stream that has begun.
    private val isResuming: Boolean get() = state.answerStarted || state.mayHaveRun

    /** After this time no answer can be delivered any more. */
    private val latestEnd: Duration get() = minOf(job.deadline, context.shutdown.endsAt)

    /** What this request needs from the next back end that it is sent to. */
    fun choiceRequest() = job.choiceRequest(state.offered.toSet(), isResuming || offer?.loss?.isReported == true)

    override val identity get() = job.identity

    override val backend: ChosenBackend? get() = offer?.backend

    override var progressAt: Duration = job.arrivedAt
        private set

    /** Whether the caller takes what its back end sends; otherwise nothing is read from the back end. */
    val isCallerReading: Boolean get() = exchange.isWritable

    override val hasProgressed: Boolean get() = offer?.hasEvents == true

    /** Sends the request to the first back end and starts the timer for the deadline. Called in a guarded step. */
    fun start() {
        exchange.onFailure = {
            // The last step frees what the request holds if its answer failed.
            val endUnanswered = { finish(ForwardDecision.withoutOffer(state).toString(), HANDLER_FAILED) }
            val endAnswered = { finishWith(ForwardDecision.withoutOffer(state), HANDLER_FAILED) }
            if (!finished) runEvery(::cancelOffer, endAnswered, endUnanswered)
        }
        exchange.onDisconnect = {
            offer?.pending?.cancel()
            finish("caller_left", "closed")
        }
        exchange.onWritable = {
            progressAt = context.clock.now()
            offer?.pending?.resumeReading()
        }
        timer = context.runLater(job.deadline - context.clock.now()) {
            endNow("deadline", ForwardDecision::expired)
        }
        offer()
    }

    /**
     * Ends the request if it must not be sent to a back end any more, or if it is blocked as a whole and waits at one.
     * One with a blocked part stays there, because its answer shows that the part is sound after all.
     */
    fun endIfUnsendable() = exchange.guarded {
        val current = offer
        val reason = when {
            finished -> null
            current == null && left != null -> null
            current == null -> context.reasonNotToSend(job, isResuming)
            current.isUnanswered && context.crashes.isRequestBlocked(job.identity) -> CrashSignals.BLOCKED_REQUEST
            else -> null
        }
        reason?.let { endNow(it, ForwardDecision::withoutOffer) }
    }

    // A stream may have returned to the back end that it left while the owner of the places was asked.
    private fun offer() = context.beforeChoice(this) { exchange.guarded { if (!finished && offer == null) offerNow() } }

    private fun offerNow(target: ChosenBackend? = null) {
        val now = context.clock.now()
        context.reasonNotToSend(job, isResuming)?.let { return giveUp(it) }
        val choice = target?.let(BackendChoice::Chosen) ?: context.choose(choiceRequest())
        if (choice !is BackendChoice.Chosen) return noBackendChosen(choice)
        val backend = choice.backend
        state = state.copy(offered = state.offered + backend.server)
        progressAt = now
        response.discardCollected()
        val fields = BackendRequestFields(backend.server, job.customer, latestEnd - now, job.priority, lastEventId)
        val head = context.codec.encode(exchange.head, job.request, fields)
        val next = Offer(backend, now)
        offer = next
        context.offerStarted(backend, this)
        val isForAttempt = { response: ResponseHead -> context.codec.metadata(job.request, response).isForAttempt }
        next.isSending = true
        val listener = GuardedListener(exchange, next)
        next.pending = context.send(backend, head, exchange.body, route.repeatability, isForAttempt, listener)
    }

    /** Offers the request again after it waited for a place. */
    fun placeFreed() = exchange.guarded {
        waited += context.clock.now() - waitingSince
        if (!finished) offer()
    }

    /** Ends the request, because no place came free in time. */
    fun waitTimedOut() = exchange.guarded {
        waited += context.clock.now() - waitingSince
        if (!finished) giveUp("wait_timeout")
    }

    private fun noBackendChosen(choice: BackendChoice) {
        val now = context.clock.now()
        if (isResuming || choice.isWorthWaiting(now)) {
            waitingSince = now
            if (context.awaitPlace(this, isResuming, latestEnd)) return
        }
        backendPause = (choice as? BackendChoice.Paused)?.let { it.until - now }
        giveUp(choice.reason)
    }

    /** Ends a request that is at no back end, unless the back end that it left may still go on. */
    private fun giveUp(reason: String) =
        left?.takeBack(reason) ?: finishWith(ForwardDecision.withoutOffer(state), reason)

    /** [target] is the back end to which the request moves with a retry that was taken already, if it does. */
    private fun offerEnded(ended: Offer, end: OfferResult, detail: String, target: ChosenBackend? = null) {
        if (finished || offer !== ended) return
        // First, because the answer to a request depends on it if a later step fails.
        state = state.after(end)
        ended.release()
        context.offerEnded(ended.backend, end)
        val now = context.clock.now()
        var retry: Boolean? = null
        val step = ForwardDecision.afterOffer(
            state,
            end,
            now,
            isSuspect = { context.crashes.isSuspect(job.identity, ended.backend) },
            acquireRetry = { (target != null || context.tryAcquireRetry(job.service)).also { retry = it } },
        )
        log.ended(ended.backend, end, detail, now - ended.startedAt, lastEventId, state.sends, retry, step)
        val previous = left
        when {
            step !is ForwardStep.OfferAgain && previous != null -> previous.takeBack(detail)
            step !is ForwardStep.OfferAgain -> finishWith(step, detail, ended)
            target != null -> offerNow(target)
            else -> offer()
        }
    }

    private fun finishWith(step: ForwardStep, reason: String, ended: Offer? = null) {
        if (step == ForwardStep.Refuse && reason == STOPPING) exchange.closeAfterResponse()
        response.finish(step, ended?.head, isSent = state.sends > 0) { context.retryDelay(job, reason, backendPause) }
        finish(step.toString(), reason)
    }

    private fun finish(outcome: String, reason: String) {
        if (finished) return
        val total = context.clock.now() - job.arrivedAt
        finished = true
        val first = firstEventAt?.let { it - job.arrivedAt }
        runEvery(
            { timer.cancel() },
            { context.waitEnded(this) },
            { left?.pending?.cancel() },
            { offer?.release() },
            { context.finished(this, ForwardOutcome(job, outcome, reason, state.sends, first, total, waited)) },
        )
    }

    /** Ends the request with the answer that its state allows, because the process ends. */
    fun endForShutdown() = endNow(STOPPING, ForwardDecision::withoutOffer)

    private fun endNow(reason: String, step: (ForwardState) -> ForwardStep) = exchange.guarded {
        if (finished) return@guarded
        cancelOffer()
        finishWith(step(state), reason)
    }

    private fun cancelOffer() {
        val current = offer?.takeIf { it.pending?.isCancelled != true } ?: return
        if (current.mayBeSent) state = state.copy(sends = state.sends + 1, mayHaveRun = true)
        current.pending?.cancel()
    }

    /**
     * Called when the controller reports that the group has lost a member. The request counts as one that was there at
     * the loss, also if it stays for now.
     */
    fun onGroupLost() = exchange.guarded {
        val current = offer ?: return@guarded
        current.loss.isReported = true
        if (current.pending?.wasSent == true) current.loss.count()
        leaveLostGroup()
    }

    /**
     * Moves the request to another back end if its group was reported as lost; called at the report and at each check
     * after it. It leaves only with a retry and a place elsewhere, because the report may be a mistake.
     */
    fun leaveLostGroup() = exchange.guarded {
        val from = offer?.takeIf { it.loss.isReported } ?: return@guarded
        leave(from, "group_lost", canLeave = { true }) {
            if (from.loss.isCounted && !from.hasEvents) OfferResult.GroupLost else OfferResult.Stalled
        }
    }

    override fun moveSilent(end: OfferResult, detail: String, onMoved: () -> Unit) = exchange.guarded {
        val from = offer?.takeIf { it.pending?.wasSent == true && !it.loss.isReported } ?: return@guarded
        val silentSince = progressAt
        leave(from, detail, canLeave = { progressAt == silentSince }) {
            onMoved()
            end
        }
    }

    private fun leave(from: Offer, detail: String, canLeave: () -> Boolean, end: () -> OfferResult) =
        moves.attempt(from.backend, detail, { context.reasonToStay(state, job) }, canLeave) { target ->
            val result = end()
            val mayGoOn = isStream && !from.loss.isReported && left == null
            if (mayGoOn) left = from else from.pending?.cancel()
            offerEnded(from, result, detail, target)
        }

    private inner class Offer(val backend: ChosenBackend, val startedAt: Duration) : ResponseListener {
        var pending: PendingExchange? = null

        /** Whether the request is being sent or was sent, although there may be no [pending] exchange. */
        var isSending = false
        var head: ResponseHead? = null
        var hasEvents = false
        private val splitter = EventSplitter()

        /** Comments before the first event, which are part of this back end's response only. */
        private var heldComments = ByteArray(0)
        val mayBeSent: Boolean get() = pending?.wasSent ?: isSending
        private var isError = false
        private var showsRun = false

        /** Whether the back end may not have begun to run the request. */
        val isUnanswered: Boolean get() = !hasEvents && (isStream || head == null)
        val loss = GroupLoss { context.crashes.connectionLost(backend, job.identity, hasEvents) }

        fun release() {
            offer = null
            context.offerReleased(backend, this@ForwardTask)
        }

        /** Goes on with this offer, which the stream had left, and cancels the one after it. */
        fun takeBack(reason: String) {
            val next = offer
            left = null
            cancelOffer()
            next?.release()
            response.discardCollected()
            response.collect(heldComments)
            context.waitEnded(this@ForwardTask)
            log.returned(backend, reason)
            offer = this
            context.offerStarted(backend, this@ForwardTask)
        }

        override fun onHead(head: ResponseHead) {
            this.head = head
            val metadata = context.codec.metadata(job.request, head)
            metadata.coldFor?.let { context.coldReported(backend.server, it) }
            metadata.faultyEngine?.let { context.faultReported(backend, it) }
            // A member of a group answers in the same way if it isn't the head, so only plain services are recorded.
            if (metadata.isIdentified && metadata.misdirected && backend.group == null) {
                context.health.recordMisdirected(backend, context.clock.now())
            }
            val rejection = ResponseCheck.ofHead(head, metadata, state, response.begunHead)
            showsRun = ResponseCheck.showsRun(head, metadata)
            if (!isStream && showsRun) context.runBegan(job)
            if (rejection == null) {
                isError = !ResponseCheck.isSuccess(head)
            } else {
                reject(rejection.result, rejection.detail)
            }
        }

        private fun reject(end: OfferResult, detail: String) {
            pending?.cancel()
            if (left === this) left = null
            offerEnded(this, end, detail)
        }

        /** Whether the request is at this back end; one that left it comes back, because the back end goes on. */
        private fun isCurrent(): Boolean {
            if (!finished && left === this) takeBack("goes_on")
            return !finished && offer === this
        }

        override fun onData(bytes: ByteArray) {
            if (!isCurrent()) return
            if (isStream && !isError) relayEvents(bytes) else collectBody(bytes)
        }

        private fun collectBody(bytes: ByteArray) {
            if (state.answerStarted) {
                exchange.write(bytes)
                if (!exchange.isWritable) pending?.pauseReading()
                return
            }
            response.collect(bytes)
            if (!response.isTooLong) return
            if (isError) {
                reject(OfferResult.Lost, "error_too_long")
            } else {
                startResponse()
            }
        }

        private fun relayEvents(bytes: ByteArray) {
            val batch = splitter.accept(bytes)
            if (CallerResponse.isTooLong(splitter.pendingBytes)) return reject(OfferResult.Lost, "event_too_long")
            if (batch == null) return
            if (!hasEvents && batch.events > 0) context.runBegan(job)
            val rejection = ResponseCheck.ofEvents(batch, lastEventId, isFirst = !hasEvents)
            if (rejection != null) reject(rejection.result, rejection.detail) else relay(batch)
        }

        private fun relay(batch: EventBatch) {
            val now = context.clock.now()
            if (hasEvents || batch.events > 0) context.progressed(backend, now - progressAt, !hasEvents)
            if (!hasEvents && batch.events > 0) {
                hasEvents = true
                left?.pending?.cancel()
                left = null
                context.crashes.answerBegan(job.identity)
            }
            progressAt = now
            if (!state.answerStarted && !hasEvents) return holdComments(batch.bytes)
            if (firstEventAt == null) firstEventAt = now
            if (!state.answerStarted) startResponse()
            batch.lastId?.let { lastEventId = it }
            exchange.write(batch.bytes)
            if (!exchange.isWritable) pending?.pauseReading()
        }

        // An engine may send comments before it ends under the request, so they don't begin the response.
        private fun holdComments(bytes: ByteArray) {
            heldComments += bytes
            response.collect(bytes)
            if (response.isTooLong) reject(OfferResult.Lost, "comments_too_long")
        }

        /** Begins the response to the caller with the bytes that were collected so far. */
        private fun startResponse() {
            response.begin(head ?: return)
            heldComments = ByteArray(0)
            state = state.copy(answerStarted = true)
        }

        override fun onEnd() {
            if (!isCurrent()) return
            when {
                isError -> failed()
                isStream -> streamEnded()
                else -> succeed()
            }
        }

        private fun streamEnded() {
            val isIncomplete = splitter.pendingBytes > 0
            when (StreamEnd.of(head?.isDelimitedByClose == true, isIncomplete, hasEvents, lastEventId != null)) {
                StreamEnd.COMPLETE -> succeed()
                StreamEnd.CUT_OFF -> offerEnded(this, OfferResult.Lost, "stream_incomplete")
                StreamEnd.CONNECTION_LOST -> connectionLost("stream_incomplete")
            }
        }

        private fun failed() {
            // The back end still runs after its error, so the request did not end it.
            if (showsRun) context.crashes.answerBegan(job.identity)
            offerEnded(this, OfferResult.Failed, "status_${head?.status}")
        }

        private fun succeed() {
            head?.let(response::complete)
            state = state.copy(sends = state.sends + 1)
            runEvery(::recordSuccess, { finish(SERVED, "complete") })
        }

        private fun recordSuccess() {
            val now = context.clock.now()
            context.offerEnded(backend, null)
            if (isStream) return
            context.crashes.answerBegan(job.identity)
            context.health.recordPause(backend.server, backend.kind, now - startedAt)
        }

        override fun onFailure(failure: ExchangeFailure) {
            if (left === this) left = null
            val detail = failure.name.lowercase()
            when (failure) {
                ExchangeFailure.NOT_CONNECTED -> offerEnded(this, OfferResult.NotSent, detail)
                ExchangeFailure.CONNECTION_LOST -> connectionLost(detail)
                else -> offerEnded(this, OfferResult.Lost, detail)
            }
        }

        override fun onError(cause: Throwable) = throw cause

        // An engine may send the head before it runs the request, so only an event shows that it began to answer.
        private fun connectionLost(detail: String) {
            loss.count()
            val engineEnd = if (loss.isReported) OfferResult.GroupLost else OfferResult.EngineLost
            offerEnded(this, if (backend.group != null && !hasEvents) engineEnd else OfferResult.Lost, detail)
        }
    }

    companion object {
        /** Outcome of a request that was answered by a back end. */
        const val SERVED = "served"

        /** Reason of the end of a request in whose handling this process failed. */
        const val HANDLER_FAILED = "handler_failed"

        /** Reason of the end of a request that can't be completed before the process ends. */
        const val STOPPING = "stopping"
    }
}
