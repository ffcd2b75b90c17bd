package redwingcross.edge

import io.netty.channel.EventLoop
import redwingcross.connection.http.HttpCall
import redwingcross.connection.http.RemoteEndpoint
import redwingcross.platform.CountStoreCall
import redwingcross.platform.PlatformFleet
import redwingcross.platform.UsageCalls
import redwingcross.process.edge.ControllerTask
import redwingcross.process.edge.EdgeFeature
import redwingcross.process.edge.EdgeSettings
import redwingcross.process.edge.EventLog
import redwingcross.process.edge.EventLoopTask
import redwingcross.process.edge.GatewayRecord
import redwingcross.process.edge.PeerCodec
import redwingcross.process.edge.PeerTask
import redwingcross.process.edge.ProcessClock
import redwingcross.process.edge.UsageDependencies
import redwingcross.process.edge.UsageReception
import redwingcross.process.edge.UsageTask
import redwingcross.process.edge.UsageTaskMessage
import redwingcross.process.usage.UsageSettings
import redwingcross.request.MonotonicClock
import redwingcross.version.fleet.StoreEra
import redwingcross.version.forwarding.ForwardJob

/** What the usage reports need of the process. */
internal class UsageEnvironment(
    val settings: EdgeSettings,
    val self: GatewayRecord,
    val loop: EventLoop,
    val clock: MonotonicClock,
    val events: EventLog,
    val metrics: EdgeMetrics,
    val httpCall: HttpCall,
    val platform: PlatformFleet,
    val controller: () -> ControllerTask,
    val peers: () -> PeerTask,
)

/** Connects the [UsageTask] of a process with its other tasks; exists only while the feature is on. */
internal class UsageReports private constructor(
    environment: UsageEnvironment,
    settings: UsageSettings,
    calls: UsageCalls,
) {
    private val clock = environment.clock
    private val usage = UsageTask(
        environment.self,
        settings,
        environment.settings.isFirstStart,
        UsageDependencies(
            wallMillis = System::currentTimeMillis,
            validEpoch = { environment.controller().validEpoch },
            isActiveController = { environment.controller().isActiveController },
            fleetSize = { environment.peers().gatewayShare.count },
            receivers = { receivers(environment.peers(), environment.controller()) },
            send = { receiver, counts -> environment.peers().send(receiver, PeerCodec.encode(counts)) },
            call = { effect -> calls.perform(effect) { task.post(UsageTaskMessage.CallCompleted(it)) } },
            countWindows = environment.metrics::countUsageWindows,
            log = environment.events.info,
        ),
        clock,
    )
    private var newestEra = StoreEra.FIRST
    private val task: EventLoopTask<UsageTaskMessage> = EventLoopTask(
        environment.loop,
        MAILBOX_CAPACITY,
        { environment.events.warn("mailbox_full", arrayOf("task" to "usage")) },
        usage::handle,
    )

    init {
        environment.metrics.gauge("redwingcross_usage_counted_minus_reported") { usage.countedMinusReported }
        environment.metrics.gauge("redwingcross_usage_windows_unfinished") { usage.unfinishedWindows }
    }

    private fun receivers(peers: PeerTask, controller: ControllerTask): List<GatewayRecord> {
        val holder = if (controller.isActiveController) null else peers.activeController()
        return listOfNotNull(holder, peers.standbys.firstOrNull { it.node != holder?.node })
    }

    /** What messages of other processes contain for the usage reports. */
    val reception = UsageReception(
        onClock = { sender, reading -> task.post(UsageTaskMessage.ClockHeard(sender, reading)) },
        onFleetMillis = { task.post(UsageTaskMessage.TimeAnnounced(it)) },
        onCounts = { task.post(UsageTaskMessage.CountsReceived(it)) },
        fleetMillis = usage::fleetMillis,
    )

    /** Counts a request that a back end began to run; one without a customer is in no report. */
    fun runBegan(job: ForwardJob) {
        job.customer?.let { task.post(UsageTaskMessage.Began(it, clock.now())) }
    }

    /** The clocks for the next heartbeat; null if they are not due. */
    fun clockIfDue(): ProcessClock? = usage.clockIfDue()

    /** Does what is due; called several times a second with the other checks of the process. */
    fun check(): Unit = task.post(UsageTaskMessage.Check)

    /**
     * Called with the era of an answer of the store. In a newer era than before, what the store has lost is stored
     * again; so it is at the first answer, because a process that starts can't know when the restore was.
     */
    fun storeAnswered(era: StoreEra) {
        if (era <= newestEra) return
        newestEra = era
        task.post(UsageTaskMessage.StoreRestored)
    }

    /** Sends the counts that were not sent, because the process ends now. */
    fun flush(): Unit = usage.handle(UsageTaskMessage.Flush)

    companion object {
        /** Maximum number of messages queued for the task, as for the other tasks. */
        private const val MAILBOX_CAPACITY = 4096

        /** Null, with a line in the log if usage was to be reported but the settings state no endpoint. */
        fun create(environment: UsageEnvironment): UsageReports? {
            if (EdgeFeature.USAGE_REPORTS !in environment.settings.features) return null
            val settings = environment.settings.usage
            val cloud = settings?.cloud
            if (cloud == null) {
                environment.events.warn("usage_off", arrayOf("reason" to "no_cloud_addr"))
                return null
            }
            val endpoint = RemoteEndpoint(cloud.toSocketAddress(), cloud.value)
            val count: CountStoreCall = environment.metrics.countStoreCall
            val store = environment.platform.usageReports
            val calls = UsageCalls(environment.settings.node, endpoint, environment.httpCall, store, count)
            return UsageReports(environment, settings, calls)
        }
    }
}
