package redwingcross.process.membership

import redwingcross.request.ProcessName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gateways of a roster, in an order that every process computes alike. */
data class GatewaySet(val gateways: List<ProcessName>) {
    /** Tells apart rosters, so that ages of different rosters are never mixed. */
    val digest: Int get() = gateways.map { it.value }.hashCode()

    companion object {
        fun of(gateways: Collection<ProcessName>): GatewaySet = GatewaySet(gateways.distinct().sortedBy { it.value })
    }
}

/**
 * When each gateway of a roster was last proved to run, by an answer to this process or to one that passed it on.
 *
 * The member table can't decide whether a majority is reachable: one process of 350 that is cut off needs minutes to
 * probe half of them. Proofs expire instead, after [lifetime], without any probe.
 */
data class Reachability(
    val gatewaySet: GatewaySet = GatewaySet(emptyList()),
    private val provedAt: Map<ProcessName, Duration> = emptyMap(),
    /** Not longer than the view lifetime of 5 s, because a majority replaces a current confirmation stamp. */
    private val lifetime: Duration = 5.seconds,
) {
    /** [name] answered a request sent at [sentAt]; the time of the answer itself could understate the age. */
    fun contacted(name: ProcessName, sentAt: Duration): Reachability =
        if (name in gatewaySet.gateways && sentAt > (provedAt[name] ?: -Duration.INFINITE)) {
            copy(provedAt = provedAt + (name to sentAt))
        } else {
            this
        }

    /** Takes over the proofs that a peer [answered] to a request sent at [sentAt]. */
    fun merge(answered: ReachabilityAges, sentAt: Duration): Reachability {
        if (answered.gatewaySetDigest != gatewaySet.digest || answered.ages.size != gatewaySet.gateways.size) return this
        val merged = provedAt.toMutableMap()
        gatewaySet.gateways.forEachIndexed { index, name ->
            val age = answered.ages[index].toUByte().toInt()
            if (age < UNKNOWN_AGE) {
                val at = sentAt - AGE_UNIT * age
                if (at > (merged[name] ?: -Duration.INFINITE)) merged[name] = at
            }
        }
        return copy(provedAt = merged)
    }

    /** The proofs that this process, [self], holds at [now]. */
    fun ages(self: ProcessName, now: Duration): ReachabilityAges = ReachabilityAges(
        gatewaySet.digest,
        ByteArray(gatewaySet.gateways.size) { index ->
            val name = gatewaySet.gateways[index]
            val age = if (name == self) 0 else provedAt[name]?.let { roundUp(now - it) } ?: UNKNOWN_AGE
            age.toByte()
        },
    )

    /** Replaces the roster; proofs of gateways that stay are kept. */
    fun withRoster(next: GatewaySet): Reachability =
        if (next == gatewaySet) this else copy(gatewaySet = next, provedAt = provedAt.filterKeys { it in next.gateways })

    /** Gateways of the roster with a proof younger than the lifetime, including [self]. */
    fun reachable(self: ProcessName, now: Duration): Int =
        gatewaySet.gateways.count { name -> name == self || provedAt[name]?.let { now - it <= lifetime } == true }

    /** Whether more than half of the roster is reachable; false for an empty roster. */
    fun isMajorityReachable(self: ProcessName, now: Duration): Boolean = reachable(self, now) * 2 > gatewaySet.gateways.size

    /**
     * The latest time since which more than half of the roster was proved to run, including [self] at [now]; null when
     * there is no proof of a majority at all.
     */
    fun majorityProvedAt(self: ProcessName, now: Duration): Duration? = gatewaySet.gateways
        .mapNotNull { name -> if (name == self) now else provedAt[name] }
        .sortedDescending()
        .getOrNull(gatewaySet.gateways.size / 2)

    private fun roundUp(age: Duration): Int =
        ((age.inWholeNanoseconds + AGE_UNIT.inWholeNanoseconds - 1) / AGE_UNIT.inWholeNanoseconds)
            .coerceIn(0, UNKNOWN_AGE.toLong())
            .toInt()

    private companion object {
        /** One byte then covers 25 s; rounding up adds at most 100 ms at each hop. */
        val AGE_UNIT = 100.milliseconds
        const val UNKNOWN_AGE = 255
    }
}

/** Ages of proofs in the order of a roster, one byte for each gateway. */
class ReachabilityAges(val gatewaySetDigest: Int, val ages: ByteArray)
