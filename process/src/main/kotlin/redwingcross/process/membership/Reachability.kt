package redwingcross.process.membership

import redwingcross.request.ProcessName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The gateways of which a majority is counted, sorted so that every process has them in the same order. */
data class GatewaySet(val gateways: List<ProcessName>) {
    /** Hash that distinguishes gateway sets, so that ages of different gateway sets are never mixed. */
    val digest: Int get() = gateways.map { it.value }.hashCode()

    companion object {
        fun of(gateways: Collection<ProcessName>): GatewaySet = GatewaySet(gateways.distinct().sortedBy { it.value })
    }
}

/**
 * Time at which each gateway of the gateway set was last proved to be running, by an answer to this process or to a
 * peer that sent its proofs to this process.
 *
 * The member table can't show whether a majority is reachable, because a process that is cut off from 350 members needs
 * minutes to probe half of them. Proofs expire after [lifetime] without any probe.
 */
data class Reachability(
    val gatewaySet: GatewaySet = GatewaySet(emptyList()),
    private val provedAt: Map<ProcessName, Duration> = emptyMap(),
    /** At most the view lifetime of 5 s, because a reachable majority replaces a fresh confirmation stamp. */
    private val lifetime: Duration = 5.seconds,
) {
    /**
     * Records that [name] answered a request sent at [sentAt]. The time of the request counts, because the time at
     * which the answer is processed could understate the age of the proof.
     */
    fun contacted(name: ProcessName, sentAt: Duration): Reachability =
        if (name in gatewaySet.gateways && sentAt > (provedAt[name] ?: -Duration.INFINITE)) {
            copy(provedAt = provedAt + (name to sentAt))
        } else {
            this
        }

    /**
     * Merges the proofs in the answer of a peer to a request sent at [sentAt]. Proofs of a different gateway set are
     * ignored.
     */
    fun merge(other: ReachabilityAges, sentAt: Duration): Reachability {
        if (other.gatewaySetDigest != gatewaySet.digest || other.ages.size != gatewaySet.gateways.size) return this
        val merged = provedAt.toMutableMap()
        gatewaySet.gateways.forEachIndexed { index, name ->
            val age = other.ages[index].toUByte().toInt()
            if (age < UNKNOWN_AGE) {
                val at = sentAt - AGE_UNIT * age
                if (at > (merged[name] ?: -Duration.INFINITE)) merged[name] = at
            }
        }
        return copy(provedAt = merged)
    }

    /** Returns the ages of the proofs of this process, [self], at [now]. */
    fun ages(self: ProcessName, now: Duration): ReachabilityAges = ReachabilityAges(
        gatewaySet.digest,
        ByteArray(gatewaySet.gateways.size) { index ->
            val name = gatewaySet.gateways[index]
            val age = if (name == self) 0 else provedAt[name]?.let { roundUp(now - it) } ?: UNKNOWN_AGE
            age.toByte()
        },
    )

    /** Replaces the gateway set and keeps the proofs of gateways that are also in the new one. */
    fun withGatewaySet(new: GatewaySet): Reachability =
        if (new == gatewaySet) this else copy(gatewaySet = new, provedAt = provedAt.filterKeys { it in new.gateways })

    /** Returns the number of gateways with a proof not older than [lifetime]; [self] counts if it is a gateway. */
    fun reachableCount(self: ProcessName, now: Duration): Int =
        gatewaySet.gateways.count { name -> name == self || provedAt[name]?.let { now - it <= lifetime } == true }

    /** Whether more than half of the gateways are reachable; false for an empty gateway set. */
    fun isMajorityReachable(self: ProcessName, now: Duration): Boolean =
        reachableCount(self, now) * 2 > gatewaySet.gateways.size

    /**
     * Returns the latest time at or after which each of more than half of the gateways was proved to be running, where
     * [self] is proved at [now]. Null without proofs of a majority.
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
        /** With this unit, one byte covers 25 s, and rounding up adds at most 100 ms at each hop. */
        val AGE_UNIT = 100.milliseconds
        const val UNKNOWN_AGE = 255
    }
}

/**
 * Ages of the proofs of a gateway set, one unsigned byte for each gateway in the order of the set, in units of 100 ms;
 * 255 if there is no proof or it is older.
 */
class ReachabilityAges(val gatewaySetDigest: Int, val ages: ByteArray)
