package redwingcross.connection.http

import io.netty.channel.EventLoop
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The result of a call that is made for its whole answer. */
sealed interface CallResult {
    data class Answered(val status: Int, val body: ByteArray) : CallResult

    /** No byte of the call left, so it has no effect. */
    data object NotSent : CallResult

    /** The call was sent and not answered: it may have had its effect, or may have it later. */
    data class Unanswered(val failure: ExchangeFailure) : CallResult
}

/** Makes one call and gives its result to the function on the event loop. */
typealias MakeCall = (RemoteParty, RequestHead, ByteArray, Duration, (CallResult) -> Unit) -> PendingExchange

/** Calls over [connections] that are ended after a time of their own. */
class HttpCaller(private val connections: HttpConnections, private val loop: EventLoop) {
    /** Makes a call and bounds it by [timeout]; a connection whose answer is late is not used again. */
    fun call(
        party: RemoteParty,
        head: RequestHead,
        body: ByteArray,
        timeout: Duration,
        onResult: (CallResult) -> Unit,
    ): PendingExchange {
        val collector = Collector(onResult)
        val pending = connections.exchange(party, head, body, { true }, collector)
        val timer = loop.schedule(
            {
                if (!collector.isDone) {
                    val sent = pending.wasSent
                    pending.cancel()
                    val result = if (sent) CallResult.Unanswered(ExchangeFailure.TIMEOUT) else CallResult.NotSent
                    collector.finish(result)
                }
            },
            timeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        collector.onDone = { timer.cancel(false) }
        if (collector.isDone) timer.cancel(false)
        return pending
    }

    private class Collector(private val onResult: (CallResult) -> Unit) : AnswerListener {
        var isDone = false
            private set
        var onDone: () -> Unit = {}
        private var status = 0
        private val body = ByteArrayOutputStream()

        override fun onHead(head: AnswerHead) {
            status = head.status
        }

        override fun onData(bytes: ByteArray) {
            body.write(bytes)
        }

        override fun onEnd(): Unit = finish(CallResult.Answered(status, body.toByteArray()))

        override fun onFailure(failure: ExchangeFailure) {
            val notSent = failure == ExchangeFailure.NOT_CONNECTED
            finish(if (notSent) CallResult.NotSent else CallResult.Unanswered(failure))
        }

        fun finish(result: CallResult) {
            if (isDone) return
            isDone = true
            onDone()
            onResult(result)
        }
    }
}
