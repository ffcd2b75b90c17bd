package redwingcross.process.node

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import redwingcross.process.gossip.ControlVersions
import redwingcross.process.gossip.MembershipTask
import redwingcross.request.MonotonicClock
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ControlState
import redwingcross.version.control.ControlTask
import redwingcross.version.control.ControlView
import redwingcross.version.control.ViewSettings
import redwingcross.version.control.gatewaySetOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Must be well below the lifetime of a view, because a confirmed reachability gets older until it is passed on. */
private val exchangeInterval = 250.milliseconds

/**
 * Passes state between the control task and the membership task: adopted versions, confirmation stamps and the gateway
 * set to the membership task, and the reachability of a majority to the control task.
 */
class ControlBridge(
    private val control: ControlTask,
    private val membership: MembershipTask,
    private val configuredSeeds: List<Endpoint>,
    private val clock: MonotonicClock,
    private val viewLifetime: Duration = ViewSettings().viewLifetime,
) {
    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { forwardState(control.view.map { it.control }.distinctUntilChanged()) }
        launch { forwardConfirmations(control.view) }
        while (true) {
            reportReachability()
            delay(exchangeInterval)
        }
    }

    private suspend fun forwardState(states: Flow<ControlState>): Unit = states.collect { state ->
        membership.adopted(
            ControlVersions(
                state.bundle?.version ?: BundleVersion(0),
                state.overrides.version,
                state.leaving.version,
            ),
        )
        val bundle = state.bundle?.bundle ?: return@collect
        membership.gatewaySetChanged(gatewaySetOf(bundle, state.overrides))
        membership.seedsChanged((configuredSeeds + bundle.gateways.map { it.peer }).distinct())
    }

    private suspend fun forwardConfirmations(views: Flow<ControlView>): Unit =
        views.map { it.confirmedAt }.distinctUntilChanged().collect {
            control.stamp()?.let { membership.confirmed(it) }
        }

    private suspend fun reportReachability() {
        val now = clock.now()
        val provedAt = membership.view.value.majorityProvedAt(now)
        if (provedAt != null && now - provedAt < viewLifetime) {
            control.majorityReachable(provedAt)
        } else {
            control.majorityLost()
        }
    }
}
