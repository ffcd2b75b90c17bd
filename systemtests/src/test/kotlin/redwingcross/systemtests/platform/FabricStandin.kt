package redwingcross.systemtests.platform

import io.netty.channel.EventLoop
import redwingcross.connection.http.CallerConnectionLimits
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.CallerListener
import redwingcross.request.MonotonicClock
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Members of a group in one epoch, as ordered with `join`; the first member is the head. */
internal data class GroupMembership(val group: String, val epoch: Long, val members: List<String>)

/**
 * Holds the engines and plain back ends of a deployment, the attempts that they ran and the violations that they
 * detected. All state is confined to [loop].
 */
internal class FabricStandin(val loop: EventLoop, val store: StoreStandin) {
    val engines = LinkedHashMap<String, EngineStandin>()

    /** Group memberships in which an engine has been ready, by engine id. */
    val readyMemberships = HashMap<String, MutableSet<GroupMembership>>()

    /** Number of runs by attempt id. */
    val runs = HashMap<String, Int>()

    /** Service that ran the latest request of each route, by path prefix. */
    val lastServiceByRoute = HashMap<String, String>()

    /** Services to which some configuration routes the requests of each path prefix. */
    val allowedServices = HashMap<String, Set<String>>()

    /**
     * Returns the delay after which the next order is carried out. An order with a positive delay gets no response; an
     * engine that ends before does not carry it out.
     */
    var orderDelayMillis: () -> Long = { 0 }

    /** Part of prompts under which an engine crashes when it begins to answer; null if there is none. */
    var crashingPart: String? = null

    /** Times in ms, on the system's monotonic clock, at which requests with [crashingPart] reached engines. */
    val crashingArrivals = mutableListOf<Long>()

    /** Times of the crashes under [crashingPart]. */
    val crashTimes = mutableListOf<Long>()

    /** Violations that the engines detected. */
    val findings = mutableListOf<String>()

    /** Serves HTTP on a free loopback port and returns its address. */
    fun listen(serve: (CallerExchange) -> Unit): InetSocketAddress {
        val free = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
            InetSocketAddress(it.inetAddress, it.localPort)
        }
        val limits = CallerConnectionLimits(1_000_000, 5.seconds, 30.seconds)
        CallerListener(loop, MonotonicClock.system, { 16_384 }, { limits }, {}, serve).start(free)
        return free
    }

    /** Adds an engine and starts it. */
    fun add(engine: EngineStandin) {
        engines[engine.id] = engine
        engine.start()
    }

    /**
     * Stops an engine without removing its entry, which expires after [ENTRY_EXPIRY_MILLIS]. After
     * [REPLACEMENT_DELAY_MILLIS] [replacement] is added, with no model loaded.
     */
    fun crash(id: String, replacement: EngineStandin) {
        end(id, ENTRY_EXPIRY_MILLIS) ?: return
        addLater(replacement)
    }

    private fun addLater(replacement: EngineStandin) {
        loop.schedule({ add(replacement) }, REPLACEMENT_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    /**
     * Stops an engine, and starts one with the id [nextId] and the entry [nextEntry] at its address after
     * [startMillis]. The entry of the stopped one expires after [expiryMillis].
     */
    fun reuseAddress(id: String, nextId: String, nextEntry: EngineEntry, startMillis: Long, expiryMillis: Long) {
        val address = end(id, expiryMillis)?.address ?: return
        loop.schedule(
            { add(EngineStandin(nextId, nextEntry, this, address)) },
            startMillis,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Stops an engine and starts it again under its id after [startMillis]; until then the store lists its entry. */
    fun restart(id: String, startMillis: Long) {
        val engine = engines.remove(id) ?: return
        engine.stop()
        loop.schedule({ add(engine.createNextLife()) }, startMillis, TimeUnit.MILLISECONDS)
    }

    /**
     * Restores the store from [copy]. After [rewriteMillis] the engines and [rewrite] write again what it has lost, and
     * the entries of engines that have ended are gone.
     */
    fun restoreStore(copy: StoreStandin.Copy, rewriteMillis: Long, rewrite: () -> Unit) {
        copy.restore()
        loop.schedule(
            {
                rewrite()
                store.names(SERVERS).filter { it !in engines }.forEach { store.remove(SERVERS, it) }
                engines.values.forEach(EngineStandin::publishEntry)
            },
            rewriteMillis,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun end(id: String, expiryMillis: Long): EngineStandin? {
        val engine = engines.remove(id) ?: return null
        engine.stop()
        loop.schedule({ store.remove(SERVERS, id) }, expiryMillis, TimeUnit.MILLISECONDS)
        return engine
    }

    /** Crashes an engine that begins to answer a request with [crashingPart]; another one replaces it. */
    fun crashUnderPart(engine: EngineStandin) {
        end(engine.id, ENTRY_EXPIRY_MILLIS) ?: return
        crashTimes += now()
        val name = "${engine.id}-d${crashTimes.size}"
        // The listener of an engine can't be started on the event loop.
        CompletableFuture.supplyAsync { engine.createReplacement(name) }.thenAccept(::addLater)
    }

    /** Records that a request with [crashingPart] reached an engine. */
    fun recordCrashingArrival() {
        crashingArrivals += now()
    }

    private fun now() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    /** Ids and addresses of the engines that are heads of open groups of [model]. */
    fun openHeads(model: String): List<Pair<String, InetSocketAddress>> =
        engines.values.filter { it.isOpenHead && it.staged == model }.map { it.id to it.address.listener }

    companion object {
        const val SERVERS = "servers"
        private const val ENTRY_EXPIRY_MILLIS = 1200L
        private const val REPLACEMENT_DELAY_MILLIS = 2500L
    }
}
