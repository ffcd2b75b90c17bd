package redwingcross.version.routing

import redwingcross.request.ProcessName
import redwingcross.version.control.CapacityLimits
import redwingcross.version.control.GatewaySetHistory
import redwingcross.version.control.GatewaySetPeriod
import redwingcross.version.control.ViewSettings
import kotlin.time.Duration

/**
 * Position of a gateway in the rendezvous hashing order of a gateway set for one server. The first `limit % size`
 * gateways in this order get one slot more than the others, so the shares of all gateways sum to exactly the limit.
 *
 * @property position zero-based position of the gateway
 * @property size number of gateways in the set
 */
data class RendezvousPlace(val position: Int, val size: Int) {
    /** Slots out of [limit] that this gateway may use. */
    fun shareOf(limit: Int): Int = limit / size + if (position < limit % size) 1 else 0

    /** Bytes out of [bytes] that this gateway may use. */
    fun shareOf(bytes: Long): Long = bytes / size

    companion object {
        /** Returns null if [gateway] is not in [gatewaySet] and therefore has no share. [key] identifies the server. */
        fun of(key: String, gateway: ProcessName, gatewaySet: Set<ProcessName>): RendezvousPlace? {
            if (gateway !in gatewaySet) return null
            val server = stableHash(key)
            val own = combineHashes(server, stableHash(gateway.value))
            val ahead = gatewaySet.count { other ->
                val weight = combineHashes(server, stableHash(other.value))
                weight > own || (weight == own && other.value < gateway.value)
            }
            return RendezvousPlace(ahead, gatewaySet.size)
        }
    }
}

/**
 * A gateway's share of one server while one gateway set was in force. If [limits] is null, the service was not in the
 * bundle during that period, so no gateway admitted requests for it. [place] is null if the gateway was not in the set.
 */
data class PeriodShare(
    val place: RendezvousPlace?,
    val limits: CapacityLimits?,
    val replacedAt: Duration?,
    val gatewaySet: Set<ProcessName> = emptySet(),
) {
    /** Whether every gateway has the same share of the same limits as in [other]. */
    internal fun isSameAs(other: PeriodShare): Boolean = gatewaySet == other.gatewaySet && limits == other.limits

    internal fun slots(servingFor: Duration): Int =
        if (place == null || limits == null) 0 else place.shareOf(limits.at(servingFor))

    internal fun heldBytes(): Long = if (place == null || limits == null) 0 else place.shareOf(limits.heldBytes)
}

/** How long a server has been serving; its limits, and therefore the shares of the gateways, depend on this. */
data class ServingTime(
    /** Lower bound of the time for which the server has been serving. */
    val servingFor: Duration,
    /** Reading of the process clock before which the server was certainly not ready; null if unknown. */
    val notReadyBefore: Duration? = null,
)

/**
 * A gateway's share of one server: the smallest of its shares under all gateway sets whose requests may still be in
 * flight.
 */
data class ServerShare(val periods: List<PeriodShare>) {
    /** Number of concurrent requests that this gateway may have at the server at [now]. */
    fun slots(serving: ServingTime, settings: ViewSettings, now: Duration): Int =
        bindingPeriods(serving, settings, now).minOfOrNull { it.slots(serving.servingFor) } ?: 0

    /** Total size in bytes of the requests that this gateway may hold for the server at [now]. */
    fun heldBytes(serving: ServingTime, settings: ViewSettings, now: Duration): Long =
        bindingPeriods(serving, settings, now).minOfOrNull { it.heldBytes() } ?: 0L

    /** Whether the limit under the current gateway set is still rising with serving time. */
    fun isRamping(servingFor: Duration): Boolean =
        periods.lastOrNull()?.limits?.let { it.at(servingFor) < it.warm } ?: false

    /** This gateway's position under the current gateway set; a smaller position gets a larger or equal share. */
    val position: Int get() = periods.lastOrNull()?.place?.position ?: Int.MAX_VALUE

    private fun bindingPeriods(serving: ServingTime, settings: ViewSettings, now: Duration): List<PeriodShare> =
        withoutInterruptions(settings, now).filter {
            it.limits != null && (it.replacedAt == null || serving.isBoundBy(it.replacedAt, settings, now))
        }

    private fun withoutInterruptions(settings: ViewSettings, now: Duration): List<PeriodShare> {
        val current = periods.lastOrNull() ?: return emptyList()
        val previous = periods.getOrNull(periods.lastIndex - 1)
        val isDeparting = current.place == null &&
            previous?.place != null &&
            previous.replacedAt?.let { now < it + settings.departureGrace } == true
        val considered = if (isDeparting) periods.dropLast(1) else periods
        return considered.filterIndexed { index, _ -> !wasShortInterruption(considered, index, settings) }
    }

    /**
     * Whether the period at [index] was a short interruption between two identical periods. A gateway raises its share
     * only once the preceding period has been over for [ViewSettings.shareTransition], so no gateway used the larger
     * shares of the interruption.
     */
    private fun wasShortInterruption(considered: List<PeriodShare>, index: Int, settings: ViewSettings): Boolean {
        val before = considered.getOrNull(index - 1) ?: return false
        val after = considered.getOrNull(index + 1) ?: return false
        val startedAt = before.replacedAt ?: return false
        val endedAt = considered[index].replacedAt ?: return false
        // Gateways may adopt each of the two changes at times that differ by up to the lifetime of a view.
        val certainlyShort = endedAt - startedAt < settings.shareTransition - settings.viewLifetime * 2
        return certainlyShort && before.isSameAs(after)
    }

    companion object {
        /** Computes the share of [gateway] under each period of [history]; [key] identifies the server incarnation. */
        fun of(
            key: String,
            gateway: ProcessName,
            history: GatewaySetHistory,
            limits: (GatewaySetPeriod) -> CapacityLimits?,
        ) = ServerShare(
            history.periods.map {
                PeriodShare(RendezvousPlace.of(key, gateway, it.gateways), limits(it), it.replacedAt, it.gateways)
            },
        )
    }
}

/**
 * Whether requests that any gateway admitted under a gateway set replaced at [replacedAt] may still run at the server.
 * Other gateways use a replaced gateway set until their views expire; a server that became ready after that never
 * received requests admitted under it.
 */
internal fun ServingTime.isBoundBy(replacedAt: Duration, settings: ViewSettings, now: Duration): Boolean =
    now < replacedAt + settings.shareTransition &&
        (notReadyBefore == null || notReadyBefore < replacedAt + settings.viewLifetime)
