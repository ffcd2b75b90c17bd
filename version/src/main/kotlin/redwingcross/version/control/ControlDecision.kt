package redwingcross.version.control

import redwingcross.request.Transition
import redwingcross.version.bundle.Bundle
import kotlin.time.Duration

/**
 * Decides which control state a node uses and for how long it is fresh. The bundle, the overrides and the list of
 * leaving VMs are each adopted only if their version is higher than the node's own, so neither an outdated read nor an
 * outdated peer can revert a change.
 */
class ControlDecision(
    private val settings: ViewSettings,
    /**
     * Number of peers queried while the view is stale. A majority of them must reply, to requests that are all younger
     * than [ViewSettings.viewLifetime].
     */
    private val seedPeers: Int,
    /** Reading of the process clock when the process started. */
    private val startedAt: Duration,
) {
    /** Handles [message] and updates the freshness of the view; [now] is a reading of the process clock. */
    fun step(
        state: ControlDecisionState,
        message: ControlMessage,
        now: Duration,
    ): Transition<ControlDecisionState, ControlEffect> {
        val next = when (message) {
            is ControlMessage.ControlReceived -> controlReceived(state, message, now)
            is ControlMessage.VmListReceived -> Transition(vmListReceived(state, message))
            is ControlMessage.PeerStateReceived -> peerStateReceived(state, message, now)
            is ControlMessage.StampReceived -> stampReceived(state, message)
            is ControlMessage.MajorityReachable ->
                Transition(state.copy(majorityProvedAt = later(state.majorityProvedAt, message.probedAt)))
            ControlMessage.MajorityLost -> Transition(state.copy(majorityProvedAt = null))
            ControlMessage.Tick ->
                Transition(
                    state,
                    listOf(ControlEffect.RequestSeedPeerStates).filterNot {
                        state.isFresh(settings, now)
                    },
                )
        }
        val updated = updateFreshness(state, next.state, now)
        val before = state.control.versions()
        val after = updated.control.versions()
        val adopted = ControlEffect.Adopted(after.bundle, after.overrides, after.leaving).takeIf { after != before }
        return Transition(updated, next.effects + listOfNotNull(adopted))
    }

    private fun controlReceived(
        state: ControlDecisionState,
        message: ControlMessage.ControlReceived,
        now: Duration,
    ): Transition<ControlDecisionState, ControlEffect> {
        val own = state.control
        val outdated = (message.bundle != null && message.bundle.version < own.bundleVersion()) ||
            (message.overrides != null && message.overrides.version < own.overrides.version)
        val adopted = adopt(state, message.bundle, message.overrides, now)
        if (outdated) {
            val effect = ControlEffect.OutdatedResponse(message.bundle?.version, message.overrides?.version)
            return Transition(adopted.copy(controlOutdated = true), listOf(effect))
        }
        // "Unchanged" refers to the previous response, so after an outdated response it confirms nothing.
        val hasContent = message.bundle != null || message.overrides != null
        val stillOutdated = adopted.controlOutdated && !hasContent
        val readAt = if (stillOutdated) adopted.controlReadAt else later(adopted.controlReadAt, message.requestedAt)
        val noBundleConfirmed = adopted.noBundleConfirmed || adopted.control.bundle == null
        return Transition(
            adopted.copy(
                controlOutdated = stillOutdated,
                controlReadAt = readAt,
                noBundleConfirmed = noBundleConfirmed,
            ),
        )
    }

    private fun vmListReceived(
        state: ControlDecisionState,
        message: ControlMessage.VmListReceived,
    ): ControlDecisionState {
        val known = state.listedVersions
        val outdated = message.vms.any { it.version < (known[it.vm] ?: 0) }
        val stillOutdated = outdated || (state.vmsOutdated && message.vms.isEmpty())
        if (stillOutdated) return state.copy(vmsOutdated = true)
        val own = state.control.leaving
        val newest = message.vms.maxOfOrNull { it.version } ?: 0
        val leaving = when {
            message.complete && newest >= own.version.value -> emptySet()
            // A set adopted from a peer already contains every change up to its version.
            else -> own.vms - message.vms.filter { it.version > own.version.value }.map { it.vm }.toSet()
        } + message.vms.filter { it.leaving }.map { it.vm }
        val listed = message.vms.associate { it.vm to it.version }
        return state.copy(
            control = state.control.copy(leaving = LeavingVms(maxOf(VmListVersion(newest), own.version), leaving)),
            listedVersions = if (message.complete) listed else known + listed,
            vmsReadAt = later(state.vmsReadAt, message.requestedAt),
            vmsOutdated = false,
        )
    }

    private fun peerStateReceived(
        state: ControlDecisionState,
        message: ControlMessage.PeerStateReceived,
        now: Duration,
    ): Transition<ControlDecisionState, ControlEffect> {
        val adopted = adopt(state, message.control.bundle, message.control.overrides, now)
        val leaving = maxOf(adopted.control.leaving, message.control.leaving, compareBy { it.version })
        val answered = message.requestedAt?.let { state.answered + (message.from to it) } ?: state.answered
        return Transition(
            adopted.copy(control = adopted.control.copy(leaving = leaving), answered = answered),
        )
    }

    private fun stampReceived(
        state: ControlDecisionState,
        message: ControlMessage.StampReceived,
    ): Transition<ControlDecisionState, ControlEffect> {
        val at = message.requestedAt - message.stamp.age
        val stamped = message.stamp.versions()
        if (state.control.versions().covers(stamped)) {
            return Transition(state.copy(stampedAt = later(state.stampedAt, at)))
        }
        val newerStamp =
            state.newerStamp?.takeIf { it.at >= at && it.versions.covers(stamped) } ?: NewerStamp(stamped, at)
        return Transition(state.copy(newerStamp = newerStamp), listOf(ControlEffect.RequestPeerState(message.from)))
    }

    private fun adopt(
        state: ControlDecisionState,
        bundle: AcceptedBundle?,
        overrides: Overrides?,
        now: Duration,
    ): ControlDecisionState {
        val own = state.control
        val newBundle = bundle?.takeIf { it.version > own.bundleVersion() }
        val newOverrides = overrides?.takeIf { it.version > own.overrides.version }
        if (newBundle == null && newOverrides == null) return state
        val control = own.copy(bundle = newBundle ?: own.bundle, overrides = newOverrides ?: own.overrides)
        return state.copy(control = control, history = extendHistory(state, control, now))
    }

    /** Returns the history after [next] has replaced the control state of [state]. */
    private fun extendHistory(state: ControlDecisionState, next: ControlState, now: Duration): GatewaySetHistory {
        val body = next.bundle?.bundle ?: return GatewaySetHistory()
        val previous = state.control
        val previousBody = previous.bundle?.bundle ?: return firstHistory(state, body, next, now)
        val recent = state.history.within(settings.shareTransition, now)
            .map { it.copy(replacedAt = it.replacedAt ?: now) }
        val intermediate = intermediatePeriods(previousBody, body, previous, next).map { it.copy(replacedAt = now) }
        val skipped = next.bundleVersion().value > previous.bundleVersion().value + 1 ||
            next.overrides.version.value > previous.overrides.version.value + 1
        // While this view was stale, other gateways may have raised their shares under a version that it skipped.
        val completeSince = if (skipped && !state.isFresh(settings, now)) now else state.history.completeSince
        return GatewaySetHistory(
            (recent + intermediate).distinct() + periodOf(body, next.overrides),
            completeSince,
        )
    }

    /**
     * Returns the history of a process that has just adopted its first bundle. Other gateways may still use gateway
     * sets unknown to this process, unless the bundle is the first one ever accepted: then only requests of this
     * gateway's previous process can be in flight.
     */
    private fun firstHistory(
        state: ControlDecisionState,
        body: Bundle,
        next: ControlState,
        now: Duration,
    ): GatewaySetHistory {
        val isFirstEver = next.bundleVersion().value == 1L && next.overrides.version.value == 0L
        val completeSince = when {
            !isFirstEver -> now
            // This process started before the first bundle, so no earlier process can have sent a request.
            state.noBundleConfirmed -> -Duration.INFINITE
            else -> startedAt - settings.viewLifetime
        }
        return GatewaySetHistory(listOf(periodOf(body, next.overrides)), completeSince)
    }

    /**
     * Gateway sets that may have been in force between two states. Bundle and overrides change independently, so either
     * may have changed first. If versions of the overrides were skipped, the gateway set without evacuated zones is
     * included, because it results in the smallest share.
     */
    private fun intermediatePeriods(
        old: Bundle,
        new: Bundle,
        before: ControlState,
        after: ControlState,
    ): List<GatewaySetPeriod> {
        val overridesSkipped = after.overrides.version.value > before.overrides.version.value + 1
        val bundleChanged = after.bundleVersion() != before.bundleVersion()
        val overridesChanged = after.overrides.version != before.overrides.version
        val mixed = if (bundleChanged && overridesChanged) {
            listOf(periodOf(old, after.overrides), periodOf(new, before.overrides))
        } else {
            emptyList()
        }
        val full = if (overridesSkipped) listOf(periodOf(old, Overrides()), periodOf(new, Overrides())) else emptyList()
        return mixed + full
    }

    /** Updates the state that depends on all messages received so far; [before] is the state before this message. */
    private fun updateFreshness(
        before: ControlDecisionState,
        state: ControlDecisionState,
        now: Duration,
    ): ControlDecisionState {
        val reached = state.newerStamp?.takeIf { state.control.versions().covers(it.versions) }
        val stamped = if (reached == null) {
            state
        } else {
            state.copy(newerStamp = null, stampedAt = later(state.stampedAt, reached.at))
        }
        val confirmed = stamped.confirmedAt()?.let { now < it + settings.viewLifetime } ?: false
        val majorityReplied = stamped.answered.values.count { now < it + settings.viewLifetime } * 2 > seedPeers
        val stillFresh = before.isContinuouslyFresh && before.isFresh(settings, now)
        return stamped.copy(isContinuouslyFresh = stillFresh || confirmed || majorityReplied)
    }
}

private fun later(first: Duration?, second: Duration): Duration = maxOf(first ?: second, second)
