package redwingcross.process.edge

import redwingcross.request.MonotonicClock
import redwingcross.version.admission.DemandView
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Builds a view of the demand from the sums over all gateways and the slots and load that this process knows. */
typealias BuildDemandView = (counts: Map<CompactName, KindCounts>, takenAt: Duration) -> DemandView

/**
 * The demand of the fleet as this process knows it: from digests, in a fleet without digests from the heartbeats of
 * all processes. The active controller sums the heartbeats for its digests. Owned by [PeerTask].
 */
class DemandExchange(
    private val buildView: BuildDemandView,
    private val onView: (DemandView) -> Unit,
    private val clock: MonotonicClock,
    private val log: LogEvent,
) {
    private val table = DemandTable()
    private var newestEpoch = 0L
    private var view: DemandView? = null
    private var isLost = false

    /** Messages whose demand was malformed or outdated. */
    var rejected = 0L
        private set

    /** The demand of the fleet; null if this process doesn't know it or what it knows is too old. */
    val currentView: DemandView? get() = view?.takeIf { it.isValid(clock.now()) }

    /** Called at each heartbeat round, before the heartbeat is sent. */
    fun tick(hasDigests: Boolean) {
        val now = clock.now()
        table.tick(now)
        if (!hasDigests) viewReceived(table.sums(now), now - table.age(now))
        val known = view ?: return
        if (known.isValid(now) == !isLost) return
        isLost = !isLost
        log(if (isLost) "demand_view_lost" else "demand_view_regained", arrayOf("age" to known.age(now)))
    }

    /** Records the demand of a heartbeat, also of this process's own. */
    fun heartbeatReceived(heartbeat: Heartbeat) {
        val counts = heartbeat.demand?.let { decode(it, heartbeat.sender) ?: return }
        table.record(heartbeat.sender.node, counts.orEmpty(), clock.now())
    }

    private fun decode(bytes: ByteArray, sender: GatewayRecord): Map<CompactName, KindCounts>? {
        val counts = DemandCounts.of(bytes)
        if (counts == null) reject(sender, "bytes=${bytes.size}")
        return counts
    }

    private fun reject(sender: GatewayRecord, detail: String) {
        rejected++
        log("demand_rejected", arrayOf("node" to sender.node, "detail" to detail))
    }

    /** Adds the demand of the fleet to a digest that this process is about to send. */
    fun complete(digest: FleetDigest): FleetDigest {
        val now = clock.now()
        val sums = table.sums(now)
        val age = table.age(now)
        newestEpoch = maxOf(newestEpoch, digest.leaseEpoch)
        viewReceived(sums, now - age)
        val bytes = DemandCounts.toBytes(sums) ?: return digest
        return digest.copy(demand = bytes, demandAgeMillis = age.inWholeMilliseconds)
    }

    /** Takes over the demand of a digest, unless its controller was overtaken by another one. */
    fun digestReceived(digest: FleetDigest) {
        if (digest.leaseEpoch < newestEpoch) return reject(digest.sender, "epoch=${digest.leaseEpoch}")
        newestEpoch = digest.leaseEpoch
        val age = digest.demandAgeMillis.milliseconds
        if (age.isNegative()) return reject(digest.sender, "age=$age")
        val counts = digest.demand?.let { decode(it, digest.sender) ?: return }
        viewReceived(counts.orEmpty(), clock.now() - age)
    }

    /** A view that is older than the present one, or too old to be used, is no news. */
    private fun viewReceived(counts: Map<CompactName, KindCounts>, takenAt: Duration) {
        val next = buildView(counts, takenAt)
        if (!next.isValid(clock.now())) return
        view = next
        onView(next)
    }
}
