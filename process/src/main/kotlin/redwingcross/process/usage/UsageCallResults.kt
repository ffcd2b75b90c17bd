package redwingcross.process.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A result that was dropped, because the mailbox was full, counts as unknown. */
internal fun UsageReporterState.withoutLostCalls(now: Duration): UsageReporterState {
    val store = storeCall?.takeIf { now - it.startedAt > CALL_LIFETIME }
    val stored = if (store == null) this else copy(storeCall = null).storeUnknown(store, now)
    val isSendLost = stored.send?.let { now - it.startedAt > CALL_LIFETIME } == true
    return if (isSendLost) stored.copy(send = null).sendFailed(now) else stored
}

internal fun UsageReporterState.storeUnknown(call: UsageCall, now: Duration): UsageReporterState {
    val next = copy(nextStoreCallAt = now + STORE_RETRY)
    // Reads that recover and reports stored again are repeated while their window is among the remaining ones.
    val isRepeatedAnyway = call.content == null || call.isRepeated
    return if (isRepeatedAnyway) next else next.withReport(call.window) { it.copy(mustRead = true) }
}

internal fun UsageReporterState.ifSending(number: Long, next: UsageReporterState.(UsageCall) -> UsageReporterState) =
    send?.takeIf { it.number == number }?.let { copy(send = null).next(it) } ?: this

internal fun UsageReporterState.ifStoring(number: Long, next: UsageReporterState.(UsageCall) -> UsageReporterState) =
    storeCall?.takeIf { it.number == number }?.let { copy(storeCall = null).next(it) } ?: this

internal fun UsageReporterState.acknowledged(call: UsageCall, view: UsageView, effects: MutableList<UsageEffect>) =
    withReport(call.window) { it.copy(isAcknowledged = true) }.copy(failedSends = 0).also { next ->
        val report = next.reports.getValue(call.window)
        val after = view.time?.let { it - length.endOf(call.window) } ?: Duration.ZERO
        report.content?.let { effects += UsageEffect.Reported(it, report.sends, after, after > bounds.late) }
    }

// The platform is busy or silent, which holds for all windows.
internal fun UsageReporterState.sendFailed(now: Duration): UsageReporterState =
    copy(nextSendAt = now + sendDelay(failedSends), failedSends = failedSends + 1)

internal fun UsageReporterState.rejected(call: UsageCall, now: Duration): UsageReporterState =
    withReport(call.window) { it.copy(notBefore = now + LONGEST_SEND_DELAY) }

private fun sendDelay(failures: Int): Duration =
    minOf(LONGEST_SEND_DELAY, SHORTEST_SEND_DELAY * (1 shl failures.coerceAtMost(MAXIMUM_DOUBLINGS)))

internal fun UsageReporterState.fixed(
    call: UsageCall,
    stored: StoredReport?,
    isOwn: Boolean,
    effects: MutableList<UsageEffect>,
): UsageReporterState {
    val next = found(call.window, stored?.settledBefore)
    if (stored == null || stored.report.window != call.window) {
        effects += UsageEffect.Missed(call.window, fixed = true, sends = 0)
        return next.withReport(call.window) { it.copy(isAbandoned = true) }
    }
    val knownBefore = former[call.window]?.content
    if (knownBefore != null && knownBefore != stored.report) return next.contradicted(call.window, effects)
    effects += UsageEffect.Fixed(stored.report, isOwn)
    return next.withReport(call.window) { it.copy(content = stored.report, mustRead = false) }
}

/** A recovery needs no reports before [settledBefore], because they were acknowledged. */
private fun UsageReporterState.found(window: UsageWindow, settledBefore: UsageWindow?): UsageReporterState {
    val reading = recovery as? Recovery.Reading ?: return this
    val remaining = reading.remaining.filter { it != window && (settledBefore == null || it >= settledBefore) }
    val settled = listOfNotNull(this.settledBefore, settledBefore).maxOrNull()
    return copy(
        recovery = Recovery.Reading(remaining, maxOf(reading.newest ?: window, window)),
        settledBefore = settled,
    )
}

internal fun UsageReporterState.absent(call: UsageCall): UsageReporterState {
    val reading = recovery as? Recovery.Reading
        ?: return withReport(call.window) { it.copy(mustRead = false) }
    return copy(recovery = reading.copy(remaining = reading.remaining - call.window))
}

internal fun UsageReporterState.storeFailed(now: Duration): UsageReporterState = copy(
    nextStoreCallAt =
    now + STORE_RETRY,
)

/** Longer than the time-out of each call. */
private val CALL_LIFETIME = 10.seconds

/** The store answers within milliseconds, and each call has a price. */
private val STORE_RETRY = 500.milliseconds
private val SHORTEST_SEND_DELAY = 250.milliseconds
private const val MAXIMUM_DOUBLINGS = 3

/** A report has to arrive within seconds, so a platform that recovers must not wait for long. */
private val LONGEST_SEND_DELAY = 2.seconds
