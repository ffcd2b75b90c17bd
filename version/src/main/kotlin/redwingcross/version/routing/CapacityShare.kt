package redwingcross.version.routing

import redwingcross.request.ProcessName
import redwingcross.version.control.CapacityLimits
import redwingcross.version.control.RosterEra
import redwingcross.version.control.RosterHistory
import redwingcross.version.control.ViewSettings
import kotlin.time.Duration

/**
 * Place of a gateway in the rendezvous hashing order of a roster for one server. The first `limit % size` gateways of
 * the order get one slot more than the others, so the shares of all gateways always sum to exactly the limit.
 */
data class RosterPlace(val position: Int, val size: Int) {
    /** Part of [limit] that belongs to this gateway. */
    fun shareOf(limit: Int): Int = limit / size + if (position < limit % size) 1 else 0

    /** Part of [bytes] that belongs to this gateway. */
    fun shareOf(bytes: Long): Long = bytes / size

    companion object {
        /** Null if [gateway] is not in [roster] and so has no share. */
        fun of(key: String, gateway: ProcessName, roster: Set<ProcessName>): RosterPlace? {
            if (gateway !in roster) return null
            val server = stableHash(key)
            val own = combineHashes(server, stableHash(gateway.value))
            val ahead = roster.count { other ->
                val weight = combineHashes(server, stableHash(other.value))
                weight > own || (weight == own && other.value < gateway.value)
            }
            return RosterPlace(ahead, roster.size)
        }
    }
}

/**
 * Place and limits of a gateway for one server while one roster was in force. Without [limits] the service was not part
 * of the bundle then, so no gateway admitted anything to it.
 */
data class EraShare(
    val place: RosterPlace?,
    val limits: CapacityLimits?,
    val replacedAt: Duration?,
    val roster: Set<ProcessName> = emptySet(),
) {
    /** Whether every gateway has the same part of the same limits as in [other]. */
    internal fun isSameAs(other: EraShare): Boolean = roster == other.roster && limits == other.limits

    internal fun slots(servingFor: Duration): Int =
        if (place == null || limits == null) 0 else place.shareOf(limits.at(servingFor))

    internal fun heldBytes(): Long = if (place == null || limits == null) 0 else place.shareOf(limits.heldBytes)
}

/** The state of a server that its share depends on. */
data class ServingTime(
    /** Lower bound of the time for which the server has been serving. */
    val servingFor: Duration,
    /** Reading of the process clock before which the server was certainly not ready; null if that is not known. */
    val notReadyBefore: Duration? = null,
)

/** The smallest share that a gateway has of one server under every roster that may still have requests in flight. */
data class ServerShare(val eras: List<EraShare>) {
    /** Concurrent requests allowed at [now]. */
    fun slots(serving: ServingTime, settings: ViewSettings, now: Duration): Int =
        binding(serving, settings, now).minOfOrNull { it.slots(serving.servingFor) } ?: 0

    /** Bytes of requests that may be held for the server. */
    fun heldBytes(serving: ServingTime, settings: ViewSettings, now: Duration): Long =
        binding(serving, settings, now).minOfOrNull { it.heldBytes() } ?: 0L

    /** Whether the limit under the roster in force still rises with time. */
    fun isRamping(servingFor: Duration): Boolean =
        eras.lastOrNull()?.limits?.let { it.at(servingFor) < it.warm } ?: false

    /** This gateway's place under the roster in force; smaller means more of the slots. */
    val position: Int get() = eras.lastOrNull()?.place?.position ?: Int.MAX_VALUE

    private fun binding(serving: ServingTime, settings: ViewSettings, now: Duration): List<EraShare> =
        effective(settings, now).filter {
            it.limits != null && (it.replacedAt == null || serving.isBoundBy(it.replacedAt, settings, now))
        }

    private fun effective(settings: ViewSettings, now: Duration): List<EraShare> {
        val current = eras.lastOrNull() ?: return emptyList()
        val former = eras.getOrNull(eras.lastIndex - 1)
        val isDeparting = current.place == null &&
            former?.place != null &&
            former.replacedAt?.let { now < it + settings.departureGrace } == true
        val counted = if (isDeparting) eras.dropLast(1) else eras
        return counted.filterIndexed { index, _ -> !wasTooShort(counted, index, settings) }
    }

    /**
     * Whether the era at [index] was a short interruption. No gateway raises its share before the era before it has
     * ended for [ViewSettings.shareTransition], so nobody ever used the larger shares of the interruption.
     */
    private fun wasTooShort(counted: List<EraShare>, index: Int, settings: ViewSettings): Boolean {
        val before = counted.getOrNull(index - 1) ?: return false
        val after = counted.getOrNull(index + 1) ?: return false
        val startedAt = before.replacedAt ?: return false
        val endedAt = counted[index].replacedAt ?: return false
        // Each gateway adopts both changes at times that differ by up to the lifetime of a view.
        val certainlyShort = endedAt - startedAt < settings.shareTransition - settings.viewLifetime * 2
        return certainlyShort && before.isSameAs(after)
    }

    companion object {
        /** [key] names the server's incarnation. */
        fun of(key: String, gateway: ProcessName, history: RosterHistory, limits: (RosterEra) -> CapacityLimits?) =
            ServerShare(
                history.eras.map {
                    EraShare(RosterPlace.of(key, gateway, it.gateways), limits(it), it.replacedAt, it.gateways)
                },
            )
    }
}

/**
 * Whether requests that some gateway admitted under a roster replaced at [replacedAt] may still run at the server.
 * Other gateways use a replaced roster until their views expire, so a server that became ready later never saw it.
 */
internal fun ServingTime.isBoundBy(replacedAt: Duration, settings: ViewSettings, now: Duration): Boolean =
    now < replacedAt + settings.shareTransition &&
        (notReadyBefore == null || notReadyBefore < replacedAt + settings.viewLifetime)
