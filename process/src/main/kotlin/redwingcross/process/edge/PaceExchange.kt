package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.MergedPace
import redwingcross.version.forwarding.PaceWindow
import kotlin.time.Duration

/**
 * Owns what this process measures and knows of the pace and the failures of groups. The active controller merges what
 * the gateways report in their heartbeats, and its digest carries the result. A process that gets no digests, as in a
 * small fleet, gets the heartbeats of all others and merges them itself.
 */
class PaceExchange(private val self: ProcessName, private val clock: MonotonicClock, private val log: LogEvent) {
    private val window = PaceWindow()
    private val merged = MergedPace<CompactName>()
    private val names = HashMap<BackendServer, CompactName>()
    private var fromDigest: CompactCounts? = null
    private var fromHeartbeats = emptyMap<CompactName, Double>()
    private var slow = emptySet<CompactName>()

    /** Records the time between two events of a stream. */
    fun recordPause(backend: ChosenBackend, pause: Duration) {
        if (backend.group != null) window.recordPause(backend.server, backend.kind, pause)
    }

    /** Records the end of a request; [failed] if the group closed the connection early or sent an error. */
    fun recordEnd(backend: ChosenBackend, failed: Boolean) {
        if (backend.group != null) window.recordEnd(backend.server, failed)
    }

    /** What this gateway measured since its last heartbeat; null if nothing. */
    fun report(): ByteArray? {
        val samples = window.take().mapKeys { name(it.key) }
        if (fromDigest == null) {
            val now = clock.now()
            merged.received(self, samples, now)
            fromHeartbeats = merged.deviations(now)
        }
        return if (samples.isEmpty()) null else PaceFormat.encode(samples)
    }

    /** Applies what [gateway] reported in a heartbeat. */
    fun received(gateway: ProcessName, report: ByteArray) {
        merged.received(gateway, PaceFormat.decode(report), clock.now())
    }

    /** The merged pace for a digest; null if all groups need the usual time. */
    fun digest(): ByteArray? {
        val deviations = merged.deviations(clock.now())
        logSlow(deviations.filterValues { it >= SLOW_GROUP }.keys, deviations)
        if (deviations.isEmpty()) return null
        return CompactCounts.ofNames(deviations.mapValues { PaceFormat.toEighths(it.value) }).toBytes()
    }

    private fun logSlow(current: Set<CompactName>, deviations: Map<CompactName, Double>) {
        if (current == slow) return
        val servers = names.entries.associate { it.value to it.key }
        for (name in current - slow) {
            log("group_slow", arrayOf("head" to (servers[name] ?: name.hash), "pace" to deviations[name]))
        }
        for (name in slow - current) log("group_not_slow", arrayOf("head" to (servers[name] ?: name.hash)))
        slow = current
    }

    /** Applies the merged pace of a digest; null once digests are no longer received. */
    fun digestReceived(counts: CompactCounts?) {
        if ((counts == null) != (fromDigest == null)) {
            log(if (counts == null) "health_view_lost" else "health_view_regained", emptyArray())
        }
        fromDigest = counts
    }

    /**
     * Time that [server] needs relative to the average of its kind, if this gateway alone found [own]. Its own
     * measurements count if there are enough, unless the fleet finds the group slower or failing.
     */
    fun slowness(server: BackendServer, own: Double): Double {
        val name = name(server)
        val digest = fromDigest
        val fleet = if (digest != null) digest[name]?.let(PaceFormat::fromEighths) else fromHeartbeats[name]
        return if (window.isWellMeasured(server)) maxOf(own, fleet ?: own) else fleet ?: 1.0
    }

    /** Discards the names of all back ends except [servers]. */
    fun retain(servers: Set<BackendServer>) {
        names.keys.retainAll(servers)
    }

    private fun name(server: BackendServer) = names.getOrPut(server) { CompactName.of(server.value) }

    companion object {
        /** A group that needs more than this many times the usual time gets only what the others can't take. */
        const val SLOW_GROUP: Double = 3.0
    }
}
