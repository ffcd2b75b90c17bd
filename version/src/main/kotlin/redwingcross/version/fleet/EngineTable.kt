package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import kotlin.time.Duration

/** A back end with the time of the last word about it. */
data class KnownEngine(
    val status: EngineStatus,
    /** When [status] was last observed. */
    val observedAt: Duration,
    /** Until when the back end counts as cold. */
    val coldUntil: Duration,
    /** Orders that the engine has accepted, from its last report; null until it was asked. */
    val orders: OrderCount? = null,
    /** When the engine last answered a question itself. */
    val reportedAt: Duration? = null,
    /** Whether the list has said something else since the report, so that the engine must be asked again. */
    val isContested: Boolean = false,
) {
    val id: BackendServer get() = status.id

    fun isCold(now: Duration): Boolean = now < coldUntil
}

/** The back ends of all services, as the platform lists them and as reports refine them. */
data class EngineTable(
    val engines: Map<BackendServer, KnownEngine> = emptyMap(),
    val evacuatedZones: Set<AvailabilityZone> = emptySet(),
    /** Zones that came back; their back ends count as cold until then. */
    val returnedZones: Map<AvailabilityZone, Duration> = emptyMap(),
) {
    /**
     * Takes an entry of the platform's list. The list lags behind reports, by any time after an outage of the store. So
     * the group and the staged weights that an engine reported stand, unless it has started anew; an entry that says
     * something else has the engine asked again.
     */
    fun listed(status: EngineStatus, now: Duration): EngineTable {
        val known = engines[status.id]
        val coldUntil = now + status.coldRemaining
        val hasRestarted = known?.status?.start != status.start
        if (known == null || hasRestarted && !known.isNewerThan(status)) {
            return with(KnownEngine(status, now, coldUntil))
        }
        if (known.reportedAt == null) {
            return with(known.copy(status = status, observedAt = now, coldUntil = coldUntil))
        }
        val kept = status.copy(
            start = known.status.start,
            membership = known.status.membership,
            staged = known.status.staged,
        )
        val isContested = known.isContested || status.membership != kept.membership || status.staged != kept.staged
        return with(known.copy(status = kept, observedAt = now, coldUntil = coldUntil, isContested = isContested))
    }

    /** Takes the answer of an engine to a direct question. */
    fun reported(id: BackendServer, report: EngineReport, now: Duration): EngineTable {
        val known = engines[id] ?: return this
        val isSameStart = report.start == null || report.start == known.status.start
        val outdated = isSameStart && known.orders != null && report.orders < known.orders
        if (outdated) return this
        val status = known.status.copy(
            start = report.start ?: known.status.start,
            membership = report.membership,
            staged = report.staged ?: known.status.staged,
        )
        return with(
            known.copy(
                status = status,
                observedAt = now,
                orders = report.orders,
                reportedAt = now,
                isContested = false,
            ),
        )
    }

    /** Forgets what engines reported, because this process no longer asks them; the list counts alone from here on. */
    fun withoutReports(): EngineTable = copy(
        engines = engines.mapValues { it.value.copy(orders = null, reportedAt = null, isContested = false) },
    )

    /** Takes that a back end says how long it stays cold. */
    fun coldReported(id: BackendServer, remaining: Duration, now: Duration): EngineTable {
        val known = engines[id] ?: return this
        return with(known.copy(coldUntil = maxOf(known.coldUntil, now + remaining)))
    }

    /** Takes that an engine accepted an order to leave its group, which takes effect at once. */
    fun left(id: BackendServer, orders: OrderCount, now: Duration): EngineTable {
        val known = engines[id] ?: return this
        val status = known.status.copy(membership = null)
        return with(known.copy(status = status, orders = orders, reportedAt = now))
    }

    /** Forgets a back end whose entry is gone. */
    fun removed(id: BackendServer): EngineTable = copy(engines = engines - id)

    /** Takes the zones that are out; the engines of a zone that comes back count as cold for [coldFor]. */
    fun evacuated(zones: Set<AvailabilityZone>, now: Duration, coldFor: Duration): EngineTable {
        val returned = (evacuatedZones - zones).associateWith { now + coldFor }
        return copy(evacuatedZones = zones, returnedZones = returnedZones - zones + returned)
    }

    /** Whether [engine] bears only the load of a cold back end. */
    fun isCold(engine: KnownEngine, now: Duration): Boolean =
        engine.isCold(now) || returnedZones[engine.status.zone]?.let { now < it } == true

    /** Whether new work may be sent to [engine]. */
    fun takesWork(engine: KnownEngine): Boolean = !engine.status.draining && engine.status.zone !in evacuatedZones

    /** Model engines of [service] that take work and are in no group: spares, and those that find no partner. */
    fun enginesWithoutGroup(service: ServiceTerms): Int {
        if (service.pool == null) return 0
        return engines.values.count {
            it.status.service == service.name && it.status.membership == null && takesWork(it)
        }
    }

    private fun with(engine: KnownEngine): EngineTable = copy(engines = engines + (engine.id to engine))

    private fun KnownEngine.isNewerThan(other: EngineStatus): Boolean {
        val own = status.start ?: return false
        return other.start != null && own.unixMillis > other.start.unixMillis
    }
}
