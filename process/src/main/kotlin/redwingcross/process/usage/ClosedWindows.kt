package redwingcross.process.usage

import kotlin.time.Duration

/** Whether the content of [window] can be fixed now. */
internal fun UsageReporterState.mayFix(window: UsageWindow, ledger: UsageLedger, time: FleetTime, now: Duration) =
    reports[window]?.let { it.content != null || it.isDone } != true &&
        time - length.endOf(window) <= times.expiry &&
        isClosed(window, ledger, time, now)

/** Whether the counts of [window] are in, or one of its gateways has been silent for so long that none will come. */
private fun UsageReporterState.isClosed(
    window: UsageWindow,
    ledger: UsageLedger,
    time: FleetTime,
    now: Duration,
): Boolean {
    val age = time - length.endOf(window)
    if (age < times.closeAfter) return false
    return age >= times.closeAtLatest || ledger.hasHeardAll(window, now - age + times.delivered)
}

/**
 * Whether a process that still runs, or whose counts another one kept, counted from the beginning of the window.
 * If none did, all processes ended at once, and the counts before that are lost.
 */
internal fun UsageReporterState.isComplete(window: UsageWindow, ledger: UsageLedger): Boolean =
    isFirstStart || ledger.earliest.let { it != null && it <= length.startOf(window) }
