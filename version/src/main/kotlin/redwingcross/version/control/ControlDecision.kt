package redwingcross.version.control

import redwingcross.request.Transition
import redwingcross.version.bundle.Bundle
import kotlin.time.Duration

/**
 * Decides which control state a node acts on. A part of the state is adopted only if its version is higher than the
 * node's own, so neither an outdated read nor an outdated peer takes it back.
 */
class ControlDecision(
    private val settings: ViewSettings,
    /** Number of peers that a node asks while its view is stale; a majority of them must answer at about one time. */
    private val seedPeers: Int,
    /** Reading of the process clock when the process started. */
    private val startedAt: Duration,
) {
    /** One step; [now] is a reading of the process clock. */
    fun step(
        memory: ControlDecisionState,
        message: ControlMessage,
        now: Duration,
    ): Transition<ControlDecisionState, ControlEffect> {
        val next = when (message) {
            is ControlMessage.ControlReceived -> controlHeard(memory, message, now)
            is ControlMessage.VmListReceived -> Transition(vmsHeard(memory, message))
            is ControlMessage.PeerStateReceived -> peerStateReceived(memory, message, now)
            is ControlMessage.StampReceived -> stampReceived(memory, message)
            is ControlMessage.MajorityReachable ->
                Transition(memory.copy(majorityAt = later(memory.majorityAt, message.probedAt)))
            ControlMessage.MajorityLost -> Transition(memory.copy(majorityAt = null))
            ControlMessage.Tick ->
                Transition(
                    memory,
                    listOf(ControlEffect.RequestSeedPeerStates).filterNot {
                        memory.isFresh(settings, now)
                    },
                )
        }
        val settled = settle(memory, next.state, now)
        val before = memory.control.versions()
        val after = settled.control.versions()
        val adopted = ControlEffect.Adopted(after.bundle, after.overrides, after.leaving).takeIf { after != before }
        return Transition(settled, next.effects + listOfNotNull(adopted))
    }

    private fun controlHeard(
        memory: ControlDecisionState,
        message: ControlMessage.ControlReceived,
        now: Duration,
    ): Transition<ControlDecisionState, ControlEffect> {
        val own = memory.control
        val outdated = (message.bundle != null && message.bundle.version < own.bundleVersion()) ||
            (message.overrides != null && message.overrides.version < own.overrides.version)
        val adopted = adopt(memory, message.bundle, message.overrides, now)
        if (outdated) {
            val effect = ControlEffect.OutdatedAnswer(message.bundle?.version, message.overrides?.version)
            return Transition(adopted.copy(controlOutdated = true), listOf(effect))
        }
        // "Nothing changed" refers to the previous answer, so after an outdated one it confirms nothing.
        val hasContent = message.bundle != null || message.overrides != null
        val stillOutdated = adopted.controlOutdated && !hasContent
        val heardAt = if (stillOutdated) adopted.controlHeardAt else later(adopted.controlHeardAt, message.requestedAt)
        val sawNoBundle = adopted.sawNoBundle || adopted.control.bundle == null
        return Transition(
            adopted.copy(controlOutdated = stillOutdated, controlHeardAt = heardAt, sawNoBundle = sawNoBundle),
        )
    }

    private fun vmsHeard(memory: ControlDecisionState, message: ControlMessage.VmListReceived): ControlDecisionState {
        val known = memory.listedVersions
        val outdated = message.vms.any { it.version < (known[it.vm] ?: 0) }
        val stillOutdated = outdated || (memory.vmsOutdated && message.vms.isEmpty())
        if (stillOutdated) return memory.copy(vmsOutdated = true)
        val own = memory.control.leaving
        val newest = message.vms.maxOfOrNull { it.version } ?: 0
        val leaving = when {
            message.complete && newest >= own.version.value -> emptySet()
            // A set taken over from a peer already reflects every change up to its version.
            else -> own.vms - message.vms.filter { it.version > own.version.value }.map { it.vm }.toSet()
        } + message.vms.filter { it.leaving }.map { it.vm }
        val listed = message.vms.associate { it.vm to it.version }
        return memory.copy(
            control = memory.control.copy(leaving = LeavingVms(maxOf(VmListVersion(newest), own.version), leaving)),
            listedVersions = if (message.complete) listed else known + listed,
            vmsHeardAt = later(memory.vmsHeardAt, message.requestedAt),
            vmsOutdated = false,
        )
    }

    private fun peerStateReceived(
        memory: ControlDecisionState,
        message: ControlMessage.PeerStateReceived,
        now: Duration,
    ): Transition<ControlDecisionState, ControlEffect> {
        val adopted = adopt(memory, message.control.bundle, message.control.overrides, now)
        val leaving = maxOf(adopted.control.leaving, message.control.leaving, compareBy { it.version })
        val answered = message.requestedAt?.let { memory.answered + (message.from to it) } ?: memory.answered
        return Transition(
            adopted.copy(control = adopted.control.copy(leaving = leaving), answered = answered),
        )
    }

    private fun stampReceived(
        memory: ControlDecisionState,
        message: ControlMessage.StampReceived,
    ): Transition<ControlDecisionState, ControlEffect> {
        val at = message.requestedAt - message.stamp.age
        val stamped = message.stamp.versions()
        if (memory.control.versions().covers(stamped)) {
            return Transition(memory.copy(stampedAt = later(memory.stampedAt, at)))
        }
        val ahead = memory.ahead?.takeIf { it.at >= at && it.versions.covers(stamped) } ?: AheadStamp(stamped, at)
        return Transition(memory.copy(ahead = ahead), listOf(ControlEffect.RequestPeerState(message.from)))
    }

    private fun adopt(
        memory: ControlDecisionState,
        bundle: AcceptedBundle?,
        overrides: Overrides?,
        now: Duration,
    ): ControlDecisionState {
        val own = memory.control
        val newBundle = bundle?.takeIf { it.version > own.bundleVersion() }
        val newOverrides = overrides?.takeIf { it.version > own.overrides.version }
        if (newBundle == null && newOverrides == null) return memory
        val control = own.copy(bundle = newBundle ?: own.bundle, overrides = newOverrides ?: own.overrides)
        return memory.copy(control = control, history = extend(memory, control, now))
    }

    /** The history after [next] replaced the control state of [memory]. */
    private fun extend(memory: ControlDecisionState, next: ControlState, now: Duration): GatewaySetHistory {
        val body = next.bundle?.bundle ?: return GatewaySetHistory()
        val previous = memory.control
        val previousBody = previous.bundle?.bundle ?: return firstHistory(memory, body, next, now)
        val recent = memory.history.within(settings.shareTransition, now)
            .map { it.copy(replacedAt = it.replacedAt ?: now) }
        val passed = passedRosters(previousBody, body, previous, next).map { it.copy(replacedAt = now) }
        val skipped = next.bundleVersion().value > previous.bundleVersion().value + 1 ||
            next.overrides.version.value > previous.overrides.version.value + 1
        // While the view was stale, other gateways may have raised their shares under a version that was skipped here.
        val completeSince = if (skipped && !memory.isFresh(settings, now)) now else memory.history.completeSince
        return GatewaySetHistory((recent + passed).distinct() + gatewaySetPeriodOf(body, next.overrides), completeSince)
    }

    /**
     * The history of a process that has just learned its first bundle. Other gateways may still use rosters that this
     * process never saw, unless the bundle is the first one ever accepted: then only requests of this gateway's
     * previous process can be in flight.
     */
    private fun firstHistory(
        memory: ControlDecisionState,
        body: Bundle,
        next: ControlState,
        now: Duration,
    ): GatewaySetHistory {
        val isFirstEver = next.bundleVersion().value == 1L && next.overrides.version.value == 0L
        val completeSince = when {
            !isFirstEver -> now
            // This process has run since before the first bundle, so no earlier one can have sent a request.
            memory.sawNoBundle -> -Duration.INFINITE
            else -> startedAt - settings.viewLifetime
        }
        return GatewaySetHistory(listOf(gatewaySetPeriodOf(body, next.overrides)), completeSince)
    }

    /**
     * Rosters that may have been in force between two states. Bundle and overrides change independently, so either may
     * have come first. For overrides that were skipped, the roster with no zone taken out gives the smallest share.
     */
    private fun passedRosters(
        old: Bundle,
        new: Bundle,
        before: ControlState,
        after: ControlState,
    ): List<GatewaySetPeriod> {
        val overridesSkipped = after.overrides.version.value > before.overrides.version.value + 1
        val bundleChanged = after.bundleVersion() != before.bundleVersion()
        val overridesChanged = after.overrides.version != before.overrides.version
        val mixed = if (bundleChanged && overridesChanged) {
            listOf(gatewaySetPeriodOf(old, after.overrides), gatewaySetPeriodOf(new, before.overrides))
        } else {
            emptyList()
        }
        val full = if (overridesSkipped) {
            listOf(
                gatewaySetPeriodOf(old, Overrides()),
                gatewaySetPeriodOf(new, Overrides()),
            )
        } else {
            emptyList()
        }
        return mixed + full
    }

    /** Draws the conclusions that hold after every message; [before] is the memory before it. */
    private fun settle(
        before: ControlDecisionState,
        memory: ControlDecisionState,
        now: Duration,
    ): ControlDecisionState {
        val reached = memory.ahead?.takeIf { memory.control.versions().covers(it.versions) }
        val stamped = if (reached == null) {
            memory
        } else {
            memory.copy(ahead = null, stampedAt = later(memory.stampedAt, reached.at))
        }
        val confirmed = stamped.confirmedAt()?.let { now < it + settings.viewLifetime } ?: false
        val heardByPeers = stamped.answered.values.count { now < it + settings.viewLifetime } * 2 > seedPeers
        val unbroken = before.established && before.isFresh(settings, now)
        return stamped.copy(established = unbroken || confirmed || heardByPeers)
    }
}

private fun later(first: Duration?, second: Duration): Duration = maxOf(first ?: second, second)
