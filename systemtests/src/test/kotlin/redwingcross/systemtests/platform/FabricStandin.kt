package redwingcross.systemtests.platform

import io.netty.channel.EventLoop
import redwingcross.connection.http.CallerConnectionLimits
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.CallerListener
import redwingcross.request.MonotonicClock
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** One list of members of a group, as engines are ordered to join it. */
internal data class GroupList(val group: String, val epoch: Long, val members: List<String>)

/**
 * The engines and plain back ends of a deployment, what they ran, and the promises that they saw broken. All state is
 * changed on [loop].
 */
internal class FabricStandin(val loop: EventLoop, val store: StoreStandin) {
    val engines = LinkedHashMap<String, EngineStandin>()

    /** Lists that an engine has been ready under, by engine. */
    val readyUnder = HashMap<String, MutableSet<GroupList>>()

    /** Runs of each attempt of a caller. */
    val runs = HashMap<String, Int>()

    /** Where the request of each route that was run last came to, by path prefix. */
    val lastService = HashMap<String, String>()

    val findings = mutableListOf<String>()

    fun listen(serve: (CallerExchange) -> Unit): InetSocketAddress {
        val free = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
            InetSocketAddress(it.inetAddress, it.localPort)
        }
        val bounds = CallerConnectionLimits(1_000_000, 5.seconds, 30.seconds)
        CallerListener(loop, MonotonicClock.system, { 16_384 }, { bounds }, {}, serve).start(free)
        return free
    }

    fun add(engine: EngineStandin) {
        engines[engine.id] = engine
        engine.list()
    }

    /** Ends an engine without a word; its entry lapses after a while, and [replacement] comes with nothing staged. */
    fun crash(id: String, replacement: EngineStandin) {
        val engine = engines.remove(id) ?: return
        engine.die()
        loop.schedule({ store.remove(SERVERS, id) }, LAPSE_MILLIS, TimeUnit.MILLISECONDS)
        loop.schedule({ add(replacement) }, RETURN_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Engines that serve as heads of groups of [model], with the addresses where they listen. */
    fun openHeads(model: String): List<Pair<String, InetSocketAddress>> =
        engines.values.filter { it.isOpenHead && it.staged == model }.map { it.id to it.address }

    companion object {
        const val SERVERS = "servers"
        private const val LAPSE_MILLIS = 1200L
        private const val RETURN_MILLIS = 2500L
    }
}
