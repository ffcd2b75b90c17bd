package redwingcross.version.routing

import redwingcross.request.Transition
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotResult
import redwingcross.version.placement.BootId
import kotlin.time.Duration

private const val SERVICE_UNAVAILABLE = 503

/** Updates the health of the server after the request that held [slot] has ended with [result]. */
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

/** Applies another gateway's report that a server lost its warm state or runs a new incarnation. */
internal fun RoutingTable.coldReported(report: ColdReport, now: Duration): RoutingTable {
    val marked = copy(health = health.recordReport(report, now))
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
    val expected = slot.incarnation
    if (expected == null) return Transition(copy(health = health.suspend(slot.server, "status ${result.status}", now)))
    val actual = result.incarnation ?: expected
    if (actual != expected) return restarted(slot, BootId(expected), BootId(actual), now)
    return if (result.status == SERVICE_UNAVAILABLE) {
        becameCold(slot, BootId(expected), now)
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
    val expected = slot.incarnation ?: return Transition(resumed)
    val actual = result.incarnation ?: expected
    if (actual != expected) return restarted(slot, BootId(expected), BootId(actual), now)
    val incarnation = BootId(expected)
    val times = health.firstBytes[slot.server]?.takeIf { it.incarnation == incarnation }
    if (times != null && times.isCold(result.firstByte, settings.coldFactor)) return becameCold(slot, incarnation, now)
    return Transition(resumed.copy(health = resumed.health.recordFirstByte(slot.server, incarnation, result.firstByte)))
}

/**
 * Handles a response showing that the server now runs incarnation [actual]: it is cold, and gets no requests until a
 * status published after this moment.
 */
private fun RoutingTable.restarted(
    slot: Slot,
    expected: BootId,
    actual: BootId,
    now: Duration,
): Transition<RoutingTable, ColdReport> {
    val current = statuses.groups.values.find { it.status.server == slot.server && it.status.incarnation == actual }
    if (current != null) return Transition(this)
    val next = health.markReplaced(expected).markCold(actual, now).suspend(slot.server, "restarted", now)
    return Transition(copy(health = next), listOf(report(slot, actual, now)))
}

/** Marks the incarnation as cold. At most one report is sent per ramp step, however many requests show the loss. */
private fun RoutingTable.becameCold(
    slot: Slot,
    incarnation: BootId,
    now: Duration,
): Transition<RoutingTable, ColdReport> {
    val step = statuses.groups.values.find { it.status.incarnation == incarnation }
        ?.let { control.history.periods.lastOrNull()?.limits?.get(it.status.model)?.rampStep }
        ?: Duration.ZERO
    val isKnown = health.coldSince[incarnation]?.let { now < it + step } ?: false
    val marked = health.markCold(incarnation, now)
    // Drop the samples of the time to first token: otherwise the next slow response would count as another loss.
    val next = copy(health = marked.copy(firstBytes = marked.firstBytes - slot.server))
    return Transition(next, if (isKnown) emptyList() else listOf(report(slot, incarnation, now)))
}

private fun RoutingTable.report(slot: Slot, incarnation: BootId, now: Duration): ColdReport =
    // The number is a clock reading, so that a restarted gateway does not reuse one.
    ColdReport(slot.server, incarnation, gateway, now.inWholeNanoseconds)
