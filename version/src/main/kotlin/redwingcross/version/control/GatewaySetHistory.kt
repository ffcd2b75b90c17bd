package redwingcross.version.control

import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Bundle
import kotlin.time.Duration

/** Limits of one backend server of a service, for all gateways together. */
data class CapacityLimits(
    /** Concurrent requests right after the server became ready. */
    val cold: Int,
    /** Concurrent requests once it is warm. */
    val warm: Int,
    /** Serving time after which the limit doubles; zero means that the server needs no ramp-up. */
    val rampStep: Duration,
    /** Maximum total size in bytes of the requests held for the server. */
    val heldBytes: Long,
)

/** The gateways that share the limits, and the limits, while one version of the control state was in force. */
data class GatewaySetPeriod(
    val gateways: Set<ProcessName>,
    val limits: Map<ServiceName, CapacityLimits>,
    /** Reading of the process clock when a newer version replaced this one; null for the current version. */
    val replacedAt: Duration? = null,
)

/**
 * The current gateway set and those that were in force recently. A gateway must not exceed its share under any of them
 * until all requests that other gateways admitted under that set have ended.
 */
data class GatewaySetHistory(
    val periods: List<GatewaySetPeriod> = emptyList(),
    /**
     * Reading of the process clock before which gateway sets unknown to this node may have been in force; null before
     * the first bundle.
     */
    val completeSince: Duration? = null,
) {
    /** Periods that overlap the [window] before [now], including the current one. */
    fun within(window: Duration, now: Duration): List<GatewaySetPeriod> =
        periods.filter { it.replacedAt == null || it.replacedAt + window > now }
}

/** Gateways of the bundle that are not in an evacuated zone. */
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

internal fun periodOf(bundle: Bundle, overrides: Overrides): GatewaySetPeriod =
    GatewaySetPeriod(gatewaySetOf(bundle, overrides), limitsOf(bundle))
