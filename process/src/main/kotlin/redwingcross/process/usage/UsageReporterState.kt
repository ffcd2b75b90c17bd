package redwingcross.process.usage

import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

/** What the holder knows of the report of one window. */
data class WindowReport(
    /** Null until the content is fixed in the store. */
    val content: UsageReport? = null,
    /** Whether a create may have taken effect, so that the store has to be read before the next one. */
    val mustRead: Boolean = false,
    /** Number of sends by this holder. */
    val sends: Int = 0,
    val isAcknowledged: Boolean = false,
    /** Whether the report was given up, or must not be made because counts of the window are lost. */
    val isAbandoned: Boolean = false,
    /** Earliest time of the next send. */
    val notBefore: Duration = Duration.ZERO,
) {
    val isDone: Boolean get() = isAcknowledged || isAbandoned
}

/** A call whose result is awaited. */
data class UsageCall(
    val number: Long,
    val window: UsageWindow,
    val startedAt: Duration,
    /** The report that the call creates. */
    val content: StoredReport? = null,
    /** Whether the report was fixed before, and the store may have lost it. */
    val isRepeated: Boolean = false,
)

/** Progress of a new holder's reads of the reports that its predecessors fixed. */
sealed interface Recovery {
    /** Nothing was read yet. */
    data object Waiting : Recovery

    /** Windows still to be read, newest first; [newest] is the newest one that was found. */
    data class Reading(val remaining: List<UsageWindow>, val newest: UsageWindow?) : Recovery

    data object Done : Recovery
}

/** What tells which windows another holder may have sent although a restored store has no report of them. */
data class RestoreRisk(
    /** Time at which this process learned that the store may have lost reports of others; null if it lost none. */
    val restoredAt: Duration? = null,
    /** Reports of earlier windows were acknowledged before a restore, and this process doesn't know their content. */
    val settledBefore: UsageWindow? = null,
)

/** State of the decision of a process about usage reports, see [UsageReporter]. */
data class UsageReporterState(
    val bounds: UsageBounds,
    /** Shortest time between two sends, so that the platform isn't asked for more than it takes. */
    val sendInterval: Duration,
    /** Whether the whole system starts for the first time, so that no earlier counts can be lost. */
    val isFirstStart: Boolean = false,
    /** The last epoch under which this process held the lease. */
    val epoch: LeaseEpoch? = null,
    /** Time from which this process acts under [epoch]. */
    val actsFrom: Duration = Duration.INFINITE,
    val recovery: Recovery = Recovery.Waiting,
    val reports: Map<UsageWindow, WindowReport> = emptyMap(),
    /** Reports with a fixed content that this process knew under its former epochs. */
    val former: Map<UsageWindow, WindowReport> = emptyMap(),
    /** Windows whose reports the store may have lost, so that they are stored again before anything else. */
    val unstored: Set<UsageWindow> = emptySet(),
    /** Which windows another holder may have sent although the store has no report of them. */
    val risk: RestoreRisk = RestoreRisk(),
    /** The last time at which [epoch] was seen to be valid. */
    val validAt: Duration = -Duration.INFINITE,
    /** Every report of an earlier window was acknowledged, according to the predecessors. */
    val settledBefore: UsageWindow? = null,
    /** The newest window that was logged as lost. */
    val lostThrough: UsageWindow? = null,
    /** The call to the store in progress; at most one. */
    val storeCall: UsageCall? = null,
    /** The send in progress; at most one. */
    val send: UsageCall? = null,
    val calls: Long = 0,
    val nextStoreCallAt: Duration = Duration.ZERO,
    val nextSendAt: Duration = Duration.ZERO,
    /** Sends without a usable answer since the last one. */
    val failedSends: Int = 0,
) {
    val length: WindowLength get() = bounds.windowLength
    val times: UsageTimes get() = UsageTimes.of(bounds)

    /** Whether a report waits for the store or for the platform. */
    val unfinished: Int get() = reports.values.count { !it.isDone }

    /** All reports with a fixed content that this process knows. */
    internal val known: Map<UsageWindow, WindowReport> get() = former + reports.filterValues { it.content != null }

    internal fun withReport(window: UsageWindow, change: (WindowReport) -> WindowReport): UsageReporterState =
        copy(reports = reports + (window to change(reports[window] ?: WindowReport())))
}

/** What the decision reads of the rest of the process. */
data class UsageView(
    /** Epoch of the controller lease that this process may act under right now; null if it may not act. */
    val validEpoch: LeaseEpoch?,
    /** Null while true time is not known. */
    val time: FleetTime?,
    val ledger: UsageLedger,
)

/** Input of [UsageReporter]. */
sealed interface UsageMessage {
    /** Time passed. */
    data object Tick : UsageMessage

    /** The store has come back from an older copy of its data and may have lost reports. */
    data object StoreRestored : UsageMessage

    /** The store has the report that the call created. */
    data class Created(val call: Long) : UsageMessage

    /** The store has had a report of the window before; null if it is unreadable. */
    data class Existed(val call: Long, val stored: StoredReport?) : UsageMessage

    /** A read answered that the store has no report of the window. */
    data class Absent(val call: Long) : UsageMessage

    /** The call had no effect. */
    data class StoreFailed(val call: Long) : UsageMessage

    /** The create may have taken effect, or may still do so. */
    data class StoreUnknown(val call: Long) : UsageMessage

    /** The platform acknowledged the report. */
    data class Acknowledged(val call: Long) : UsageMessage

    /** The platform didn't answer, is busy or has failed; it may have taken the report. */
    data class SendFailed(val call: Long) : UsageMessage

    /** The platform refused this report, which says nothing about others. */
    data class SendRejected(val call: Long) : UsageMessage
}

/** An action that the owning task carries out. */
sealed interface UsageEffect {
    /** Reads the stored report of [window]. */
    data class Read(val call: Long, val window: UsageWindow) : UsageEffect

    /** Stores a report if the store has none of its window. */
    data class Create(val call: Long, val stored: StoredReport) : UsageEffect

    /** Sends the report to the platform at once; a later send needs a new look at the lease. */
    data class Send(val call: Long, val report: UsageReport, val token: LeaseEpoch, val sends: Int) : UsageEffect

    /** This process is the new holder and acts after [wait]. */
    data class HolderStarted(val epoch: LeaseEpoch, val wait: Duration) : UsageEffect

    /** The stored reports of the predecessors are read; [open] of them may still have to be sent. */
    data class Recovered(val epoch: LeaseEpoch, val open: Int) : UsageEffect

    data class Fixed(val report: UsageReport, val isOwn: Boolean) : UsageEffect

    /** The platform has the report; [after] counts from the end of the window. */
    data class Reported(val report: UsageReport, val sends: Int, val after: Duration, val isLate: Boolean) : UsageEffect

    /** The report was given up, [fixed] states whether its content was stored. */
    data class Missed(val window: UsageWindow, val fixed: Boolean, val sends: Int) : UsageEffect

    /** Counts of these windows were lost with all processes, so they aren't reported. */
    data class Lost(val first: UsageWindow, val last: UsageWindow) : UsageEffect

    /**
     * The store has come back from an older copy; this process stores [reports] again. [knowsAll] is false if another
     * process may have sent reports that the store has lost.
     */
    data class StoreRestored(val reports: Int, val knowsAll: Boolean) : UsageEffect

    /** A report of the window may have been sent and then lost by the store, so no other content may be sent. */
    data class Withheld(val window: UsageWindow) : UsageEffect

    /** Requests that were counted after the content was fixed. */
    data class Difference(val window: UsageWindow, val counted: Int, val reported: Int) : UsageEffect
}
