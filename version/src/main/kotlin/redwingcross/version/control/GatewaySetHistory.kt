package redwingcross.version.control

import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Bundle
import kotlin.time.Duration

/** Load that one backend server of a service bears, summed over all gateways. */
data class CapacityLimits(
    /** Concurrent requests right after the server became ready. */
    val cold: Int,
    /** Concurrent requests once it is warm. */
    val warm: Int,
    /** Time of serving after which the limit doubles; zero means that the server needs no ramp-up. */
    val rampStep: Duration,
    /** Bytes of requests held for the server. */
    val heldBytes: Long,
)

/** The gateways among which limits are divided, and the limits, while one version of the control state was in force. */
data class GatewaySetPeriod(
    val gateways: Set<ProcessName>,
    val limits: Map<ServiceName, CapacityLimits>,
    /** Reading of the process clock when a newer version replaced this one; null for the version in force. */
    val replacedAt: Duration? = null,
)

/**
 * The rosters that were in force recently. A share must stay below each of them until the requests that other gateways
 * admitted under it have ended.
 */
data class GatewaySetHistory(
    val periods: List<GatewaySetPeriod> = emptyList(),
    /** Reading of the process clock before which rosters may have been in force that this node never saw. */
    val completeSince: Duration? = null,
) {
    /** Every roster in force at some time in the last [window] before [now], the current one included. */
    fun within(window: Duration, now: Duration): List<GatewaySetPeriod> =
        periods.filter { it.replacedAt == null || it.replacedAt + window > now }
}

/** Gateways of the bundle outside the zones that were taken out. */
fun gatewaySetOf(bundle: Bundle, overrides: Overrides): Set<ProcessName> =
    bundle.gateways.filter { it.zone !in overrides.zonesOut }.map { it.gateway }.toSet()

internal fun limitsOf(bundle: Bundle): Map<ServiceName, CapacityLimits> {
    val models = bundle.models.associate {
        it.model to CapacityLimits(it.coldLimit, it.warmLimit, it.rampStep, it.heldBytesLimit)
    }
    val services = bundle.services.associate {
        it.service to CapacityLimits(it.concurrentLimit, it.concurrentLimit, Duration.ZERO, Long.MAX_VALUE)
    }
    return models + services
}

internal fun gatewaySetPeriodOf(bundle: Bundle, overrides: Overrides): GatewaySetPeriod =
    GatewaySetPeriod(gatewaySetOf(bundle, overrides), limitsOf(bundle))
