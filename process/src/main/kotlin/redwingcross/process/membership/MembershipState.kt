package redwingcross.process.membership

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** A probe of [target] that is in flight. */
internal data class Probe(val target: ProcessName, val startedAt: Duration, val isIndirect: Boolean = false)

/** Immutable state of [Membership]. */
data class MembershipState internal constructor(
    /** The current description of this process. */
    val self: Member,
    /** The member table: all other known processes. */
    val entries: Map<ProcessName, MemberEntry>,
    internal val hasLeft: Boolean,
    internal val seeds: List<Endpoint>,
    /** How often the newest change of each member was sent; a change that was sent often enough is removed. */
    internal val sendCounts: Map<ProcessName, Int>,
    /** Members that are still to be probed in the current pass over the table. */
    internal val probeOrder: List<ProcessName>,
    internal val probe: Probe?,
    internal val nextProbe: Duration,
    internal val nextSync: Duration,
    internal val nextRejoin: Duration,
    internal val lastTick: Duration,
    /** Time at which a peer last answered a request of this process. */
    internal val lastContact: Duration,
    internal val randomSeed: RandomSeed,
) {
    /** Members that are alive or suspected, including this process. */
    fun present(): List<Member> = entries.values.filter { it.isPresent }.map { it.member } + self

    /** Members that are alive and not suspected, including this process. */
    fun live(): List<Member> = entries.values.filter { it.condition == MemberCondition.ALIVE }.map { it.member } + self

    /** Live gateways that accept requests from callers, sorted by name. */
    fun readyGateways(): List<Member> =
        live().filter { it.caller != null && it.availability == Availability.READY }.sortedBy { it.name.value }

    /**
     * Live controllers in order of precedence as observers of [zone]; the first one observes it. Suspected controllers
     * are left out although they may still run, because two observers for a few seconds do no harm, whereas a zone
     * without an observer loses its groups.
     */
    fun observerOrder(zone: AvailabilityZone): List<ProcessName> = rendezvousOrder(
        zone.value,
        live().filter { it.role == ProcessRole.CONTROLLER && it.availability != Availability.LEAVING },
    )

    internal fun endpointOf(name: ProcessName): Endpoint? = entries[name]?.member?.peer

    internal fun changeOf(name: ProcessName): MemberChange? =
        if (name == self.name) selfChange() else entries[name]?.toChange()

    internal fun selfChange(): MemberChange =
        MemberChange(self, if (hasLeft) MemberCondition.LEFT else MemberCondition.ALIVE)

    internal fun digest(): TableDigest = TableDigest.of(present())
}

/**
 * Orders [members] by rendezvous hashing of [key] and their names, so that removing one member does not change the
 * order of the others.
 */
internal fun rendezvousOrder(key: String, members: List<Member>): List<ProcessName> =
    members.map { it.name }.sortedWith(compareByDescending<ProcessName> { weight(key, it) }.thenBy { it.value })

private fun weight(key: String, name: ProcessName): Long =
    (key + '/' + name.value).fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }.let(::mix)

/** Constants of the 64-bit FNV-1a hash, which gives the same value on every JVM. */
private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
