package redwingcross.version.routing

import redwingcross.request.Transition
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotResult
import redwingcross.version.placement.BootId
import kotlin.time.Duration

private const val OVERLOADED = 503

/** What the table learns from the end of a request that held [slot]. */
internal fun RoutingTable.released(
    slot: Slot,
    result: SlotResult,
    now: Duration,
): Transition<RoutingTable, ColdReport> = when (result) {
    SlotResult.Unused -> Transition(this)
    is SlotResult.Failed -> Transition(copy(health = health.suspend(slot.server, result.detail, now)))
    is SlotResult.Rejected -> rejected(slot, result, now)
    is SlotResult.Served -> served(slot, result, now)
}

/** What the table learns from another gateway's report. */
internal fun RoutingTable.coldReported(report: ColdReport, now: Duration): RoutingTable {
    val marked = copy(health = health.reported(report, now))
    val view = viewOf(report) ?: return marked
    val isCurrent = view.status.incarnation == report.incarnation
    if (isCurrent || report.incarnation in view.retired || marked.health == health) return marked
    return marked.copy(health = marked.health.suspend(report.server, "restarted, reported by ${report.reporter}", now))
}

private fun RoutingTable.viewOf(report: ColdReport): GroupView? =
    statuses.groups.values.filter { it.status.server == report.server }.maxByOrNull { it.publishedAt }

private fun RoutingTable.rejected(
    slot: Slot,
    result: SlotResult.Rejected,
    now: Duration,
): Transition<RoutingTable, ColdReport> {
    val believed = slot.incarnation
    if (believed == null) return Transition(copy(health = health.suspend(slot.server, "status ${result.status}", now)))
    val found = result.incarnation ?: believed
    if (found != believed) return restarted(slot, BootId(believed), BootId(found), now)
    return if (result.status == OVERLOADED) {
        foundCold(slot, BootId(believed), now)
    } else {
        Transition(copy(health = health.suspend(slot.server, "status ${result.status}", now)))
    }
}

private fun RoutingTable.served(
    slot: Slot,
    result: SlotResult.Served,
    now: Duration,
): Transition<RoutingTable, ColdReport> {
    val resumed = copy(health = health.resume(slot.server))
    val believed = slot.incarnation ?: return Transition(resumed)
    val found = result.incarnation ?: believed
    if (found != believed) return restarted(slot, BootId(believed), BootId(found), now)
    val incarnation = BootId(believed)
    val times = health.firstBytes[slot.server]?.takeIf { it.incarnation == incarnation }
    if (times != null && times.isJump(result.firstByte, settings.coldJump)) return foundCold(slot, incarnation, now)
    return Transition(resumed.copy(health = resumed.health.answered(slot.server, incarnation, result.firstByte)))
}

/** The server runs [found] now: it is cold, and nothing is sent to it until a newer status describes it. */
private fun RoutingTable.restarted(
    slot: Slot,
    believed: BootId,
    found: BootId,
    now: Duration,
): Transition<RoutingTable, ColdReport> {
    val current = statuses.groups.values.find { it.status.server == slot.server && it.status.incarnation == found }
    if (current != null) return Transition(this)
    val next = health.markReplaced(believed).markCold(found, now).suspend(slot.server, "restarted", now)
    return Transition(copy(health = next), listOf(report(slot, found, now)))
}

/** The incarnation lost its warm state. A report is sent only once in each ramp step, however many requests show it. */
private fun RoutingTable.foundCold(
    slot: Slot,
    incarnation: BootId,
    now: Duration,
): Transition<RoutingTable, ColdReport> {
    val step = statuses.groups.values.find { it.status.incarnation == incarnation }
        ?.let { control.history.eras.lastOrNull()?.limits?.get(it.status.model)?.rampStep }
        ?: Duration.ZERO
    val isKnown = health.coldSince[incarnation]?.let { now < it + step } ?: false
    val marked = health.markCold(incarnation, now)
    // The usual time to first token is learned anew, so that the next slow answer is not taken for another cold turn.
    val next = copy(health = marked.copy(firstBytes = marked.firstBytes - slot.server))
    return Transition(next, if (isKnown) emptyList() else listOf(report(slot, incarnation, now)))
}

private fun RoutingTable.report(slot: Slot, incarnation: BootId, now: Duration): ColdReport =
    // A restarted gateway must not repeat a number, so the number is a reading of the clock.
    ColdReport(slot.server, incarnation, gateway, now.inWholeNanoseconds)
