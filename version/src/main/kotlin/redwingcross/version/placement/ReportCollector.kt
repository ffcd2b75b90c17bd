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

/** One attempt to get a report; [report] is null if none arrived or another VM answered. */
data class CollectedReport(val vm: Vm, val report: MemberReport?, val requestedAt: Duration)

/** Takes a report without waiting; the receiver drops its oldest report when it is behind. */
typealias OfferReport = (CollectedReport) -> Unit

/** Says whether somebody in this process needs the reports now. */
typealias ReportsNeeded = () -> Boolean

/** Asks every engine of one zone for its report once in each interval and passes the results on. */
class ReportCollector(
    private val zone: AvailabilityZone,
    private val readReport: ReadReport,
    private val clock: MonotonicClock,
    private val needed: ReportsNeeded,
    private val interval: Duration = 1.seconds,
    private val offers: List<OfferReport>,
) {
    private val controls = Channel<ControlState>(Channel.CONFLATED)

    /** Tells the collector which VMs the zone has. */
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
        entries.forEach { entry -> launch { ask(entry).let { result -> offers.forEach { it(result) } } } }
    }

    private suspend fun ask(entry: VmEntry): CollectedReport {
        val requestedAt = clock.now()
        val answer = readReport(entry.engine.value)
        val report = (answer as? EngineResult.Answered)?.value?.takeIf { it.vm == entry.vm }
        return CollectedReport(entry.vm, report?.toMemberReport(), requestedAt)
    }
}
