package redwingcross.process.membership

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** A probe of [target] that was not answered yet. */
internal data class Probe(val target: ProcessName, val startedAt: Duration, val isIndirect: Boolean = false)

/** Everything that the membership decision remembers. */
data class MembershipState internal constructor(
    /** This process as it describes itself now. */
    val self: Member,
    /** The other processes that this one knows of. */
    val entries: Map<ProcessName, MemberEntry>,
    internal val hasLeft: Boolean,
    internal val seeds: List<Endpoint>,
    /** How often the newest change of each member was sent. */
    internal val unsent: Map<ProcessName, Int>,
    internal val probeOrder: List<ProcessName>,
    internal val probe: Probe?,
    internal val nextProbe: Duration,
    internal val nextSync: Duration,
    internal val nextRejoin: Duration,
    internal val lastTick: Duration,
    /** When a request of this process was last answered. */
    internal val lastContact: Duration,
    internal val choice: RandomSeed,
) {
    /** Members believed to run, including this process and suspected ones. */
    fun present(): List<Member> = entries.values.filter { it.isPresent }.map { it.member } + self

    /** Members that are not suspected, including this process. */
    fun live(): List<Member> = entries.values.filter { it.condition == MemberCondition.ALIVE }.map { it.member } + self

    /** Gateways that callers may use. */
    fun readyGateways(): List<Member> =
        live().filter { it.caller != null && it.availability == Availability.READY }.sortedBy { it.name.value }

    /**
     * Live controllers in the order in which they observe [zone]. A suspected controller is left out although it may
     * still run: two observers for a few seconds do no harm, a zone without one loses its groups.
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

/** Orders [members] by a hash of [key] and their names: removing one leaves the order of the others as it was. */
internal fun rendezvousOrder(key: String, members: List<Member>): List<ProcessName> =
    members.map { it.name }.sortedWith(compareByDescending<ProcessName> { weight(key, it) }.thenBy { it.value })

private fun weight(key: String, name: ProcessName): Long =
    (key + '/' + name.value).fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }.let(::mix)

/** Constants of the 64-bit FNV-1a hash, which is the same on every JVM. */
private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
