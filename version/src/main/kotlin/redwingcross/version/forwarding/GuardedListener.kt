package redwingcross.version.forwarding

import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.ExchangeFailure
import redwingcross.connection.http.ResponseHead
import redwingcross.connection.http.ResponseListener

/** Passes a back end's response on to [listener], whose failures end the request of [exchange]. */
internal class GuardedListener(private val exchange: CallerExchange, private val listener: ResponseListener) :
    ResponseListener {
    override fun onHead(head: ResponseHead) = exchange.guarded { listener.onHead(head) }

    override fun onData(bytes: ByteArray) = exchange.guarded { listener.onData(bytes) }

    override fun onEnd() = exchange.guarded { listener.onEnd() }

    override fun onFailure(failure: ExchangeFailure) = exchange.guarded { listener.onFailure(failure) }

    override fun onError(cause: Throwable) = exchange.guarded { listener.onError(cause) }
}
