package redwingcross.version.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import kotlin.time.Duration

/** The latest known state of a back end and when it was observed. */
data class TrackedEngine(
    val status: EngineStatus,
    /** When [status] was last observed. */
    val observedAt: Duration,
    /** Time until which the back end counts as cold. */
    val coldUntil: Duration,
    /** Number of orders that the engine has accepted, from its last report; null before its first report. */
    val orders: OrderCount? = null,
    /** When the engine's own report last updated this entry; null before its first report. */
    val reportedAt: Duration? = null,
    /** Whether an entry of the platform's list contradicts the last report, so that a new report must be requested. */
    val conflictsWithListing: Boolean = false,
) {
    val id: BackendServer get() = status.id

    fun isCold(now: Duration): Boolean = now < coldUntil
}

/**
 * The back ends of all services, from the platform's list and the engines' own reports. The map is persistent, so that
 * the cost of one change does not grow with the number of back ends.
 */
data class EngineTable(
    val engines: PersistentMap<BackendServer, TrackedEngine> = persistentHashMapOf(),
    val evacuatedZones: Set<AvailabilityZone> = emptySet(),
    /** Zones that returned to service, with the time until which their back ends count as cold. */
    val returnedZones: Map<AvailabilityZone, Duration> = emptyMap(),
) {
    /**
     * Applies an entry of the platform's list. The list lags behind reports, by an unbounded time after an outage of
     * the store. Therefore the group and the staged weights that an engine reported are kept until the engine restarts;
     * an entry that differs from them marks the engine so that a new report is requested.
     */
    fun withListed(status: EngineStatus, now: Duration): EngineTable {
        val known = engines[status.id]
        val coldUntil = now + status.coldRemaining
        val hasRestarted = known?.status?.start != status.start
        if (known == null || hasRestarted && !known.isNewerThan(status)) {
            return with(TrackedEngine(status, now, coldUntil))
        }
        if (known.reportedAt == null) {
            return with(known.copy(status = status, observedAt = now, coldUntil = coldUntil))
        }
        val kept = status.copy(
            start = known.status.start,
            membership = known.status.membership,
            staged = known.status.staged,
        )
        val conflictsWithListing =
            known.conflictsWithListing || status.membership != kept.membership || status.staged != kept.staged
        return with(
            known.copy(
                status = kept,
                observedAt = now,
                coldUntil = coldUntil,
                conflictsWithListing = conflictsWithListing,
            ),
        )
    }

    /**
     * Applies an entry that may be older than what is known of the engine, because the store was restored from a copy.
     * Nothing known is taken back unless the entry states a later start. An engine that may be draining since the copy
     * was made counts as draining.
     */
    fun withCopied(status: EngineStatus, now: Duration): EngineTable {
        val known = engines[status.id] ?: return withListed(status, now)
        return when {
            status.start?.isAfter(known.status.start) == true -> withListed(status, now)
            known.isNewerThan(status) || known.status.draining || !status.draining -> this
            else -> with(known.copy(status = known.status.copy(draining = true)))
        }
    }

    /** Applies the announced state of a back end; a cold time that it stated itself is never shortened. */
    fun withRouted(server: RoutedServer, now: Duration): EngineTable {
        val known = engines[server.status.id]?.takeIf { it.status.start == server.status.start }
        return with(TrackedEngine(server.status, now, maxOf(server.coldUntil, known?.coldUntil ?: server.coldUntil)))
    }

    /**
     * Whether [report] is of the same start as the entry of [id]. A report carries no id: if the start differs, it may
     * come from another engine that has taken over the address, or the engine has started again and its new entry is
     * not listed yet.
     */
    fun isOfListedStart(id: BackendServer, report: EngineReport): Boolean =
        engines[id]?.let { it.status.start == report.start } == true

    /** Applies an engine's report; one of another start, or older than the one already applied, is ignored. */
    fun withReport(id: BackendServer, report: EngineReport, now: Duration): EngineTable {
        val known = engines[id]?.takeIf { isOfListedStart(id, report) } ?: return this
        if (known.orders != null && report.orders < known.orders) return this
        val status = known.status.copy(
            membership = report.membership,
            staged = report.staged ?: known.status.staged,
        )
        return with(
            known.copy(
                status = status,
                observedAt = now,
                orders = report.orders,
                reportedAt = now,
                conflictsWithListing = false,
            ),
        )
    }

    /** Discards all reports, because this process no longer requests them; from here on only the list is used. */
    fun withoutReports(): EngineTable = copy(
        engines = engines.mutate { table ->
            table.replaceAll { _, engine ->
                engine.copy(orders = null, reportedAt = null, conflictsWithListing = false)
            }
        },
    )

    /** Applies a back end's own statement that it stays cold for [remaining]; never shortens the cold time. */
    fun withColdRemaining(id: BackendServer, remaining: Duration, now: Duration): EngineTable {
        val known = engines[id] ?: return this
        return with(known.copy(coldUntil = maxOf(known.coldUntil, now + remaining)))
    }

    /** Removes the membership of an engine that accepted an order to leave its group, which takes effect at once. */
    fun withoutMembership(id: BackendServer, orders: OrderCount, now: Duration): EngineTable {
        val known = engines[id] ?: return this
        val status = known.status.copy(membership = null)
        return with(known.copy(status = status, orders = orders, reportedAt = now))
    }

    /** Removes a back end whose entry was deleted from the platform's list. */
    fun without(id: BackendServer): EngineTable = copy(engines = engines.remove(id))

    /** Sets the evacuated zones; the engines of a zone that returns to service count as cold for [coldDuration]. */
    fun withEvacuatedZones(zones: Set<AvailabilityZone>, now: Duration, coldDuration: Duration): EngineTable {
        val returned = (evacuatedZones - zones).associateWith { now + coldDuration }
        return copy(evacuatedZones = zones, returnedZones = returnedZones - zones + returned)
    }

    /** Whether [engine] is limited to the load of a cold back end at [now]. */
    fun isCold(engine: TrackedEngine, now: Duration): Boolean =
        engine.isCold(now) || returnedZones[engine.status.zone]?.let { now < it } == true

    /** Whether new work may be sent to [engine]. */
    fun acceptsWork(engine: TrackedEngine): Boolean = !engine.status.draining && engine.status.zone !in evacuatedZones

    /** Number of model engines of [service] that accept work and are in no group, as spares or for lack of partners. */
    fun enginesWithoutGroup(service: ServiceSpec): Int {
        if (service.pool == null) return 0
        return engines.values.count {
            it.status.service == service.name && it.status.membership == null && acceptsWork(it)
        }
    }

    private fun with(engine: TrackedEngine): EngineTable = copy(engines = engines.put(engine.id, engine))

    private fun TrackedEngine.isNewerThan(other: EngineStatus): Boolean = status.start?.isAfter(other.start) == true
}
