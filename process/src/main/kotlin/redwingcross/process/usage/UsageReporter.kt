package redwingcross.process.usage

import redwingcross.request.Transition
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

private typealias Step = Transition<UsageReporterState, UsageEffect>

/**
 * Decides what the holder of the controller lease fixes in the store and sends to the platform. Handles the load of one
 * report a window, while the holder, the store or the platform fails at any point:
 *
 * - A report is sent only after its content was fixed by a conditional create, and only with that content.
 * - Calls are made only while the lease is valid, and only after the lease time has passed since its acquisition was
 *   seen. Calls of the former holder have ended by then.
 * - A new holder reads what its predecessors fixed, from the newest window back to the oldest that can still be sent.
 * - Windows are sent oldest first, one call at a time.
 * - A report that the store may have lost is stored again before it is sent again. A window that another holder may
 *   have sent is not reported if its report is lost, because the platform must not get two different ones.
 */
object UsageReporter {
    /** Computes the next state and effects of [message] at [now]. */
    fun step(state: UsageReporterState, message: UsageMessage, view: UsageView, now: Duration): Step {
        val effects = mutableListOf<UsageEffect>()
        val received = when (message) {
            UsageMessage.Tick -> state
            UsageMessage.StoreRestored -> state.storeRestored(now, effects)
            is UsageMessage.Acknowledged -> state.ifSending(message.call) { acknowledged(it, view, effects) }
            is UsageMessage.SendFailed -> state.ifSending(message.call) { sendFailed(now) }
            is UsageMessage.SendRejected -> state.ifSending(message.call) { rejected(it, now) }
            is UsageMessage.Created -> state.ifStoring(message.call) { stored(it, it.content, isOwn = true, effects) }
            is UsageMessage.Existed -> state.ifStoring(message.call) {
                stored(it, message.stored, isOwn = false, effects)
            }
            is UsageMessage.Absent -> state.ifStoring(message.call) { absent(it) }
            is UsageMessage.StoreFailed -> state.ifStoring(message.call) { storeFailed(now) }
            is UsageMessage.StoreUnknown -> state.ifStoring(message.call) { storeUnknown(it, now) }
        }
        val restoring = received.withoutLostCalls(now).restoring(view.time, now, effects)
        return Transition(advance(restoring, view, now, effects), effects)
    }

    private fun advance(
        state: UsageReporterState,
        view: UsageView,
        now: Duration,
        effects: MutableList<UsageEffect>,
    ): UsageReporterState {
        val epoch = view.validEpoch ?: return state
        val held = (if (epoch == state.epoch) state else state.holding(epoch, now, effects)).copy(validAt = now)
        val time = view.time ?: return held
        if (now < held.actsFrom) return held
        return held.recovering(view, time, effects).expired(view, time, effects).storing(view, time, now, effects)
            .sending(epoch, now, effects)
    }

    /**
     * Acts on nothing that this process knew under a former epoch, because another holder may have acted since. The
     * fixed contents are kept, in case that the store loses them.
     */
    private fun UsageReporterState.holding(epoch: LeaseEpoch, now: Duration, effects: MutableList<UsageEffect>) =
        UsageReporterState(
            bounds,
            sendInterval,
            isFirstStart,
            epoch,
            actsFrom = now + bounds.leaseTime,
            former = known,
            unstored = unstored,
            risk = risk,
            calls = calls,
        ).also { effects += UsageEffect.HolderStarted(epoch, bounds.leaseTime) }

    private fun UsageReporterState.stored(
        call: UsageCall,
        found: StoredReport?,
        isOwn: Boolean,
        effects: MutableList<UsageEffect>,
    ) = if (call.isRepeated) repeated(call, found, effects) else fixed(call, found, isOwn, effects)

    private fun UsageReporterState.recovering(
        view: UsageView,
        time: FleetTime,
        effects: MutableList<UsageEffect>,
    ): UsageReporterState = when (recovery) {
        Recovery.Done -> this
        Recovery.Waiting -> {
            val newest = length.windowAt(time)
            val oldest = length.windowAt(time + -times.expiry)
            val windows = (newest.number downTo oldest.number).map(::UsageWindow)
            copy(recovery = Recovery.Reading(windows, null))
        }
        is Recovery.Reading -> if (recovery.remaining.isNotEmpty()) {
            this
        } else {
            effects += UsageEffect.Recovered(epoch ?: LeaseEpoch(0), unfinished)
            val lost = lostWindows(recovery.newest, view, time)
            lost?.let { effects += it }
            copy(recovery = Recovery.Done, lostThrough = lost?.last)
        }
    }

    /** The windows between the newest one that was fixed and the first one whose counts are complete. */
    private fun UsageReporterState.lostWindows(newest: UsageWindow?, view: UsageView, time: FleetTime) =
        newest?.let { last ->
            val earliest = view.ledger.earliest ?: time
            val firstComplete = length.windowAt(earliest) + 1
            UsageEffect.Lost(last + 1, firstComplete + -1).takeIf { it.first <= it.last }
        }

    private fun UsageReporterState.expired(
        view: UsageView,
        time: FleetTime,
        effects: MutableList<UsageEffect>,
    ): UsageReporterState {
        val old = reports.filterKeys { time - length.endOf(it) > times.expiry }
        for ((window, report) in old) {
            if (!report.isDone) effects += UsageEffect.Missed(window, report.content != null, report.sends)
            val reported = report.content?.total ?: continue
            val counted = view.ledger.total(window).values.sum()
            if (report.isAcknowledged && counted > reported) {
                effects += UsageEffect.Difference(window, counted, reported)
            }
        }
        return if (old.isEmpty()) this else copy(reports = reports - old.keys)
    }

    private fun UsageReporterState.storing(
        view: UsageView,
        time: FleetTime,
        now: Duration,
        effects: MutableList<UsageEffect>,
    ): UsageReporterState {
        if (storeCall != null || now < nextStoreCallAt) return this
        val reading = recovery as? Recovery.Reading
        if (reading != null) return reading.remaining.firstOrNull()?.let { reading(it, now, effects) } ?: this
        val window = view.ledger.windows().firstOrNull { mayFix(it, view.ledger, time, now) } ?: return this
        val report = reports[window]
        val settledBefore = risk.settledBefore
        return when {
            report?.mustRead == true -> reading(window, now, effects)
            settledBefore != null && window < settledBefore -> withReport(window) { it.copy(isAcknowledged = true) }
            isAtRisk(window, time, now) -> withheld(window, effects)
            !isComplete(window, view.ledger) -> abandoned(window, effects)
            else -> creating(UsageReport(window, view.ledger.total(window)), now, effects)
        }
    }

    private fun UsageReporterState.withheld(window: UsageWindow, effects: MutableList<UsageEffect>) =
        withReport(window) { it.copy(isAbandoned = true) }.also { effects += UsageEffect.Withheld(window) }

    private fun UsageReporterState.abandoned(window: UsageWindow, effects: MutableList<UsageEffect>) =
        withReport(window) { it.copy(isAbandoned = true) }.let { next ->
            if (lostThrough != null && window <= lostThrough) return@let next
            effects += UsageEffect.Lost(window, window)
            next.copy(lostThrough = window)
        }

    private fun UsageReporterState.reading(
        window: UsageWindow,
        now: Duration,
        effects: MutableList<UsageEffect>,
    ): UsageReporterState {
        effects += UsageEffect.Read(calls + 1, window)
        return copy(calls = calls + 1, storeCall = UsageCall(calls + 1, window, now))
    }

    private fun UsageReporterState.creating(
        report: UsageReport,
        now: Duration,
        effects: MutableList<UsageEffect>,
    ): UsageReporterState {
        val unfinished = reports.filterValues { !it.isDone }.keys.minOrNull()
        val stored = StoredReport(report, minOf(unfinished ?: report.window, report.window))
        effects += UsageEffect.Create(calls + 1, stored)
        return copy(calls = calls + 1, storeCall = UsageCall(calls + 1, report.window, now, stored))
    }

    private fun UsageReporterState.sending(
        epoch: LeaseEpoch,
        now: Duration,
        effects: MutableList<UsageEffect>,
    ): UsageReporterState {
        if (send != null || now < nextSendAt || recovery != Recovery.Done) return this
        val (window, report) = reports.entries
            .filter { it.key !in unstored && it.value.content != null && !it.value.isDone && it.value.notBefore <= now }
            .minByOrNull { it.key } ?: return this
        val content = report.content ?: return this
        effects += UsageEffect.Send(calls + 1, content, epoch, report.sends + 1)
        return withReport(window) { it.copy(sends = it.sends + 1) }
            .copy(calls = calls + 1, send = UsageCall(calls + 1, window, now), nextSendAt = now + sendInterval)
    }
}
