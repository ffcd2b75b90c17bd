package redwingcross.connection.http

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import redwingcross.request.eventLine
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Result of a call whose response is collected as a whole. */
sealed interface CallResult {
    /** A complete response was received. */
    data class Answered(val status: Int, val body: ByteArray, val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE) :
        CallResult

    /** The request was not sent, so the call had no effect. */
    data object NotSent : CallResult

    /**
     * The request was sent, but no complete response was received; the call may have taken effect or may still do so.
     */
    data class NoAnswer(val failure: ExchangeFailure) : CallResult
}

/** Makes one call with a timeout and passes its result to the function on the event loop. */
typealias HttpCall = (RemoteEndpoint, RequestHead, ByteArray, Duration, (CallResult) -> Unit) -> CancelCall

/** Cancels a call; its result is not passed on any more. Has no effect on a completed call. */
typealias CancelCall = () -> Unit

/**
 * Makes calls over [connections], each with a timeout of its own, and collects their responses. A response whose body
 * is longer than [maximumBodyBytes] ends the call, because a faulty server may send bytes without end.
 */
class BufferedHttpClient(
    private val connections: HttpConnections,
    private val eventLoop: EventLoop,
    private val maximumBodyBytes: Int = MAXIMUM_BODY_BYTES,
) {
    /** Makes a call that is cancelled after [timeout]; its connection is then closed and not reused. */
    fun call(
        endpoint: RemoteEndpoint,
        head: RequestHead,
        body: ByteArray,
        timeout: Duration,
        onResult: (CallResult) -> Unit,
    ): CancelCall {
        val collector = ResponseCollector(maximumBodyBytes, onResult)
        val pending = connections.exchange(endpoint, head, body, { true }, collector)
        collector.onTooLong = pending::cancel
        val timer = eventLoop.schedule(
            {
                if (!collector.isDone) {
                    val sent = pending.wasSent
                    pending.cancel()
                    val result = if (sent) CallResult.NoAnswer(ExchangeFailure.TIMEOUT) else CallResult.NotSent
                    collector.finish(result)
                }
            },
            timeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        collector.onDone = { timer.cancel(false) }
        if (collector.isDone) timer.cancel(false)
        return pending::cancel
    }

    private class ResponseCollector(private val maximumBodyBytes: Int, private val onResult: (CallResult) -> Unit) :
        ResponseListener {
        var isDone = false
            private set
        var onDone: () -> Unit = {}
        var onTooLong: () -> Unit = {}
        private var status = 0
        private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE
        private val body = ByteArrayOutputStream()

        override fun onHead(head: ResponseHead) {
            status = head.status
            headers = head.headers
        }

        override fun onData(bytes: ByteArray) {
            if (isDone) return
            if (body.size() + bytes.size <= maximumBodyBytes) {
                body.write(bytes)
            } else {
                onTooLong()
                finish(CallResult.NoAnswer(ExchangeFailure.MALFORMED))
            }
        }

        override fun onEnd(): Unit = finish(CallResult.Answered(status, body.toByteArray(), headers))

        override fun onFailure(failure: ExchangeFailure) {
            val notSent = failure == ExchangeFailure.NOT_CONNECTED
            finish(if (notSent) CallResult.NotSent else CallResult.NoAnswer(failure))
        }

        override fun onError(cause: Throwable) {
            httpLog.error(cause) { eventLine("call_failed") }
            finish(CallResult.NoAnswer(ExchangeFailure.CONNECTION_LOST))
        }

        fun finish(result: CallResult) {
            if (isDone) return
            isDone = true
            onDone()
            onResult(result)
        }
    }

    private companion object {
        /** Several times the longest page of objects that the store returns. */
        const val MAXIMUM_BODY_BYTES = 8_388_608
    }
}
