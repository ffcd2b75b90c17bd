package redwingcross.process.edge

import redwingcross.connection.http.CallerExchange
import redwingcross.request.MonotonicClock
import redwingcross.request.forward.InboundRequest
import redwingcross.version.admission.StartupQueue
import kotlin.time.Duration

/** A request that is held until the process can serve. Compared by identity. */
class HeldRequest(val exchange: CallerExchange, val request: InboundRequest)

/** Owns the requests that arrive before this process can serve; see [StartupQueue]. Used on the event loop only. */
class StartupRequests(
    private val clock: MonotonicClock,
    private val isUsable: () -> Boolean,
    /** Serves a held request, which arrived at the given time. */
    private val serve: (HeldRequest, arrivedAt: Duration) -> Unit,
    private val refuse: (HeldRequest) -> Unit,
    private val log: LogEvent,
) {
    private var queue = StartupQueue<HeldRequest>()

    /** Number of requests that are held. */
    val size: Int get() = queue.waiting.size

    /** Holds a request; false if it has to be refused. */
    fun hold(exchange: CallerExchange, request: InboundRequest): Boolean {
        val held = HeldRequest(exchange, request)
        queue = queue.with(held, request.callerTimeout, clock.now()) ?: return false
        exchange.onDisconnect = { queue = queue.without(held) }
        return true
    }

    /** Serves the held requests once the process can, and refuses those whose time has ended. */
    fun check() {
        if (size == 0) return
        if (isUsable()) return serveAll()
        val (left, ended) = queue.expire(clock.now())
        queue = left
        ended.forEach { it.exchange.guarded { refuse(it) } }
    }

    private fun serveAll() {
        val all = queue.waiting
        val longest = clock.now() - all.minOf { it.arrivedAt }
        queue = StartupQueue()
        for ((held, arrivedAt) in all) held.exchange.guarded { serve(held, arrivedAt) }
        log("startup_requests_served", arrayOf("count" to all.size, "longest" to longest))
    }

    /** Refuses all held requests, because the process stops. */
    fun refuseAll() {
        val all = queue.waiting
        queue = StartupQueue()
        for ((held, _) in all) held.exchange.guarded { refuse(held) }
    }
}
