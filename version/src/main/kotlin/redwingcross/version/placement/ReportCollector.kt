package redwingcross.version.placement

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import redwingcross.connection.engine.EngineResult
import redwingcross.connection.engine.ReadReport
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.Vm
import redwingcross.version.bundle.VmEntry
import redwingcross.version.control.ControlState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Result of one report request; [report] is null if none was received or it came from another VM. */
data class CollectedReport(val vm: Vm, val report: MemberReport?, val requestedAt: Duration)

/** Accepts a report without waiting; the receiver drops its oldest report when its mailbox is full. */
typealias OfferReport = (CollectedReport) -> Unit

/** Whether any task in this process currently needs the reports. */
typealias ReportsNeeded = () -> Boolean

/** Requests a report from every engine of one zone once per interval and passes the results on. */
class ReportCollector(
    private val zone: AvailabilityZone,
    private val readReport: ReadReport,
    private val clock: MonotonicClock,
    private val needed: ReportsNeeded,
    private val interval: Duration = 1.seconds,
    private val offers: List<OfferReport>,
) {
    private val controls = Channel<ControlState>(Channel.CONFLATED)

    /** Updates the list of the zone's VMs. */
    fun controlChanged(control: ControlState) {
        controls.trySend(control)
    }

    /** Runs until it is cancelled. */
    suspend fun run() {
        var entries = emptyList<VmEntry>()
        while (true) {
            val startedAt = clock.now()
            controls.tryReceive().getOrNull()?.let { entries = entriesOf(it) }
            if (needed()) collect(entries)
            delay((startedAt + interval - clock.now()).coerceAtLeast(Duration.ZERO))
        }
    }

    private fun entriesOf(control: ControlState) = control.bundle?.bundle?.vms.orEmpty().filter { it.zone == zone }

    private suspend fun collect(entries: List<VmEntry>) = coroutineScope {
        entries.forEach { entry -> launch { requestReport(entry).let { result -> offers.forEach { it(result) } } } }
    }

    private suspend fun requestReport(entry: VmEntry): CollectedReport {
        val requestedAt = clock.now()
        val answer = readReport(entry.engine.value)
        val report = (answer as? EngineResult.Answered)?.value?.takeIf { it.vm == entry.vm }
        return CollectedReport(entry.vm, report?.toMemberReport(), requestedAt)
    }
}
