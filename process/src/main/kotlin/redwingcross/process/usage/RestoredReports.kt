package redwingcross.process.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The reports that this process knows are stored again, also if it doesn't hold the lease any more: the next holder
 * reads the store only after the lease time, and what was fixed once is never replaced. The result of the pending call
 * to the store is unknown, because it may be from before the restore.
 */
internal fun UsageReporterState.storeRestored(now: Duration, effects: MutableList<UsageEffect>): UsageReporterState {
    val pending = storeCall
    val next = if (pending == null) this else copy(storeCall = null).storeUnknown(pending, now)
    // A holder that has recovered knows what its predecessors fixed, and a successor waits for the lease time.
    val knowsAll = recovery == Recovery.Done && now - validAt < bounds.leaseTime
    val known = next.known
    effects += UsageEffect.StoreRestored(known.size, knowsAll)
    return next.copy(
        unstored = known.keys,
        risk = if (knowsAll) risk.copy(settledBefore = settledBefore ?: risk.settledBefore) else RestoreRisk(now),
        recovery = if (recovery == Recovery.Done) recovery else Recovery.Waiting,
        nextStoreCallAt = now,
    )
}

/** Stores the oldest report again that the store may have lost. */
internal fun UsageReporterState.restoring(
    time: FleetTime?,
    now: Duration,
    effects: MutableList<UsageEffect>,
): UsageReporterState {
    val next = if (time == null) this else withoutExpired(time)
    if (next.storeCall != null || now < next.nextStoreCallAt) return next
    val window = next.unstored.minOrNull() ?: return next
    val content = next.known[window]?.content ?: return next.copy(unstored = next.unstored - window)
    val unfinished = next.known.filterValues { !it.isDone }.keys.minOrNull() ?: window
    val stored = StoredReport(content, minOf(unfinished, window))
    effects += UsageEffect.Create(next.calls + 1, stored)
    val call = UsageCall(next.calls + 1, window, now, stored, isRepeated = true)
    return next.copy(calls = next.calls + 1, storeCall = call)
}

private fun UsageReporterState.withoutExpired(time: FleetTime): UsageReporterState {
    val old = (former.keys + unstored).filterTo(HashSet()) { time - length.endOf(it) > times.expiry }
    return if (old.isEmpty()) this else copy(former = former - old, unstored = unstored - old)
}

/** The store has [stored], which is what this process stored again unless another one was faster. */
internal fun UsageReporterState.repeated(
    call: UsageCall,
    stored: StoredReport?,
    effects: MutableList<UsageEffect>,
): UsageReporterState {
    val next = copy(unstored = unstored - call.window)
    return if (stored?.report == call.content?.report) next else next.contradicted(call.window, effects)
}

/** The store has another content than the one that may have been sent, so neither is sent any more. */
internal fun UsageReporterState.contradicted(
    window: UsageWindow,
    effects: MutableList<UsageEffect>,
): UsageReporterState {
    val report = reports[window] ?: former[window] ?: WindowReport()
    if (!report.isDone) effects += UsageEffect.Missed(window, fixed = true, report.sends)
    return withReport(window) { report.copy(isAbandoned = !report.isAcknowledged, mustRead = false) }
}

/** Whether another holder may have sent a report of [window], which the store doesn't have. */
internal fun UsageReporterState.isAtRisk(window: UsageWindow, time: FleetTime, now: Duration): Boolean {
    val restoredAt = risk.restoredAt ?: return false
    val earliestFix = now - (time - length.endOf(window)) + times.closeAfter
    return earliestFix <= restoredAt + CLOCK_MARGIN
}

/** Estimates of true time in two processes differ by less; a window moves by as much at most. */
private val CLOCK_MARGIN = 500.milliseconds
