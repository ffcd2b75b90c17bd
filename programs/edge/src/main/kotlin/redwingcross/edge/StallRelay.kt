package redwingcross.edge

import redwingcross.process.edge.ControllerMessage
import redwingcross.process.edge.ControllerTask
import redwingcross.process.edge.GatewayRecord
import redwingcross.process.edge.GatewayTask
import redwingcross.process.edge.LogEvent
import redwingcross.process.edge.PeerTask
import redwingcross.process.edge.PostMessage
import redwingcross.process.edge.SharedHealthDependencies
import redwingcross.process.edge.SilenceReport
import redwingcross.process.edge.StallCoordinator
import redwingcross.process.edge.StallCoordinatorDependencies
import redwingcross.process.edge.StallEvidence
import redwingcross.process.edge.StalledAnnouncement
import redwingcross.process.edge.StalledGroups
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.forwarding.CancelTimer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Passes the evidence and the marks of stalled groups between the tasks of this process and the other processes. */
internal class StallRelay(
    private val self: GatewayRecord,
    private val gateway: () -> GatewayTask,
    private val controller: () -> ControllerTask,
    private val peers: () -> PeerTask,
    controllerPost: PostMessage<ControllerMessage>,
    runLater: (Duration, () -> Unit) -> CancelTimer,
    clock: MonotonicClock,
    log: LogEvent,
) {
    private val coordinator = StallCoordinator(
        StallCoordinatorDependencies(
            leaseEpoch = { controller().heldLease?.record?.epoch?.value },
            inFlight = { id ->
                controller().runningGroup(id)?.let { gateway().sharedHealth?.inFlight(it.members.first()) }
            },
            askMembers = { controllerPost(ControllerMessage.GroupSuspected(it)) },
            announce = ::announce,
            runLater = runLater,
            log = log,
        ),
        clock,
    )

    /** What the gateway of this process needs. */
    val dependencies = SharedHealthDependencies(ProcessName(self.node), ::report)

    /** Number of groups that this process has marked as the active controller. */
    val markedCount: Int get() = coordinator.marked.size

    /** Number of reports of silent streams that were ignored because they can't be true. */
    val ignoredReports: Long get() = coordinator.ignored

    /** Reports what the gateway of this process observed to the active controller, which may be this process. */
    fun report(report: SilenceReport) {
        if (controller().isActiveController) {
            coordinator.received(ProcessName(self.node), report)
        } else {
            val silentMillis = report.silentFor.inWholeMilliseconds
            peers().sendToController(StallEvidence(self, report.group.value, report.streams, silentMillis))
        }
    }

    /** Handles the report of another gateway; ignored unless this process is the active controller. */
    fun onEvidence(evidence: StallEvidence) {
        val report = SilenceReport(GroupId(evidence.group), evidence.streams, evidence.silentMillis.milliseconds)
        coordinator.received(ProcessName(evidence.sender.node), report)
    }

    /** Handles the announcement of another controller. */
    fun onStalledGroups(message: StalledGroups) {
        val stalled = message.stalled.mapTo(mutableSetOf(), ::GroupId)
        gateway().sharedHealth?.stalls?.announced(StalledAnnouncement(message.leaseEpoch, message.sequence, stalled))
    }

    private fun announce(epoch: Long, sequence: Long, stalled: Set<GroupId>, resumed: Set<GroupId>) {
        peers().broadcast(StalledGroups(self, epoch, sequence, stalled.map { it.value }, resumed.map { it.value }))
        gateway().sharedHealth?.stalls?.announced(StalledAnnouncement(epoch, sequence, stalled))
    }
}
