package redwingcross.controller

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import redwingcross.connection.engine.EngineClient
import redwingcross.connection.idempotency.RecordRetention
import redwingcross.connection.platform.PlatformStore
import redwingcross.process.lifecycle.ShutdownActions
import redwingcross.process.lifecycle.ShutdownTask
import redwingcross.process.lifecycle.installSignalHandlers
import redwingcross.process.membership.Availability
import redwingcross.process.membership.Member
import redwingcross.process.membership.ProcessRole
import redwingcross.process.node.NodeTasks
import redwingcross.process.node.OperatorListener
import redwingcross.process.node.PeerUpdate
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ViewSettings
import kotlin.time.Duration.Companion.minutes

private val logger = KotlinLogging.logger {}

/** Expired idempotency records are removed at this interval, with at most [MAX_RETENTION_WRITES] writes each time. */
private val retentionInterval = 1.minutes
private const val MAX_RETENTION_WRITES = 200

/** Creates the tasks of one controller process and runs them until shutdown. */
internal class Controller(
    private val member: Member,
    seeds: List<Endpoint>,
    private val store: PlatformStore,
    private val operator: String,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
) {
    private val nodeTasks: NodeTasks =
        NodeTasks(member, seeds, store, ViewSettings(), clock, scope, { state.dump.take().toString() })
    private val engines = EngineClient()
    private val runtime = ControllerRuntime(
        name = member.name,
        incarnation = member.start.value.toString(),
        dependencies = ControllerDependencies(
            store = store,
            views = nodeTasks.control.view,
            readReport = engines.readReport,
            sendOrder = engines.sendOrder,
            rank = ::rankIn,
            publishStatus = { status -> scope.launch { nodeTasks.peers.membership.observed(status) } },
        ),
        clock = clock,
    )
    private val state = ControllerState(member.name, nodeTasks, runtime, clock)

    /** Runs until a signal requests the shutdown and the leases are released; returns the exit code. */
    suspend fun run(): Int {
        nodeTasks.start { update ->
            when (update) {
                is PeerUpdate.ZoneReceived -> runtime.statusReceived(update.status)
                is PeerUpdate.StampReceived ->
                    nodeTasks.control.stampReceived(update.from, update.stamp, update.requestedAt)
                is PeerUpdate.ColdReported -> Unit
            }
        }
        scope.launch { runtime.run() }
        scope.launch { removeExpiredRecords() }
        val operatorListener = OperatorListener(operator, state.readiness, state.dump, state.metrics).start()
        nodeTasks.peers.membership.announce(Availability.READY)
        logger.info { eventLine("controller_started", "name" to member.name, "zone" to member.zone) }
        val exitCode = awaitShutdown()
        operatorListener.stop()
        scope.coroutineContext.job.cancelAndJoin()
        engines.close()
        return exitCode
    }

    private suspend fun awaitShutdown(): Int {
        val membership = nodeTasks.peers.membership
        val shutdown = ShutdownTask(
            ProcessRole.CONTROLLER,
            ShutdownActions(
                announceLeaving = { membership.announce(Availability.LEAVING) },
                releaseLeases = { runtime.stop() },
                announceLeft = { membership.leave() },
            ),
            clock = clock,
        )
        shutdown.installSignalHandlers()
        scope.launch { shutdown.run() }
        return shutdown.finished.await()
    }

    /** Position of this process in the observer order of [zone]; last if the order does not contain it. */
    private fun rankIn(zone: AvailabilityZone): Int {
        val order = nodeTasks.peers.membership.view.value.observerOrder(zone)
        return order.indexOf(member.name).takeIf { it >= 0 } ?: order.size
    }

    private suspend fun removeExpiredRecords() {
        val retention = RecordRetention(store, clock)
        while (true) {
            delay(retentionInterval)
            retention.removeExpired(MAX_RETENTION_WRITES)
        }
    }
}
