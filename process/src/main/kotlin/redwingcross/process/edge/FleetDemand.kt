package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.version.admission.BackendKind
import redwingcross.version.admission.DemandView
import redwingcross.version.admission.KindDemand
import redwingcross.version.fleet.ServiceSpec
import kotlin.time.Duration

/**
 * The demand by kind from the sums over all gateways. Slots are those of the groups and back ends that this process
 * uses at [now], [inFlight] is the load of one of them. A kind about which nothing was reported is absent.
 */
internal fun FleetState.demandView(
    counts: Map<CompactName, KindCounts>,
    takenAt: Duration,
    now: Duration,
    inFlight: (BackendServer) -> Int,
): DemandView {
    val kinds = HashMap<BackendKind, KindDemand>()
    if (counts.isEmpty()) return DemandView(kinds, takenAt)
    for (service in configuration?.services?.values.orEmpty()) {
        for ((kind, heads) in backEnds(service, now) { CompactName.of(it) in counts }) {
            val reported = counts[CompactName.of(kind.name)] ?: continue
            kinds[kind] = KindDemand(
                heads.sumOf { it.second },
                heads.sumOf { inFlight(it.first) },
                reported.waitingInTime,
                reported.waitingLate,
                reported.freed.toDouble() / DemandTable.RATE_SECONDS,
                reported.refused.toDouble() / DemandTable.RATE_SECONDS,
            )
        }
    }
    return DemandView(kinds, takenAt)
}

/** The back ends of the reported kinds of a service, each with its slots. */
private fun FleetState.backEnds(
    service: ServiceSpec,
    now: Duration,
    isReported: (String) -> Boolean,
): Map<BackendKind, List<Pair<BackendServer, Int>>> {
    val pool = service.pool
    if (pool != null) {
        return servingGroups(service.name, now)
            .groupBy({ BackendKind(it.model.value) }) { it.head to pool.slots }
    }
    if (!isReported(service.name.value)) return emptyMap()
    val servers = table.engines.values.filter { it.status.service == service.name && table.acceptsWork(it) }
    return mapOf(BackendKind(service.name.value) to servers.map { it.id to it.status.slots })
}
