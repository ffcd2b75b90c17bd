package redwingcross.process.membership

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

enum class ProcessRole { GATEWAY, CONTROLLER }

/** Random number that distinguishes successive processes with the same name. */
@JvmInline
value class StartId(val value: Long)

/**
 * Version of a process's description. Only the process itself raises it, to refute a suspicion or announce a change.
 */
@JvmInline
value class Incarnation(val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    internal fun next(): Incarnation = Incarnation(value + 1)
}

/** Readiness that a process announces for itself. */
enum class Availability { STARTING, READY, LEAVING }

/**
 * State of a member in the table of another process. Of two states of the same incarnation, the one that is declared
 * later here takes precedence.
 */
enum class MemberCondition { ALIVE, SUSPECT, DEAD, LEFT }

/** Description of a process, which the process itself publishes. */
data class Member(
    val name: ProcessName,
    val role: ProcessRole,
    val zone: AvailabilityZone,
    val peer: Endpoint,
    /** Address on which callers connect; null for a controller. */
    val caller: Endpoint?,
    val start: StartId,
    /** Start time of the process on the local clock of the process that holds this value; can be negative. */
    val startedAt: Duration,
    val incarnation: Incarnation = Incarnation(0),
    val availability: Availability = Availability.STARTING,
)

/** Update about a member, as processes exchange it. */
data class MemberChange(val member: Member, val condition: MemberCondition)

/** A row of the member table. */
data class MemberEntry(
    val member: Member,
    val condition: MemberCondition,
    /** Local time at which the member entered [condition]. */
    val since: Duration,
    /** False for a suspicion that arose while this process was isolated; it is not sent to other members. */
    val isShared: Boolean = true,
) {
    internal val isPresent: Boolean
        get() = condition == MemberCondition.ALIVE || condition == MemberCondition.SUSPECT

    internal fun toChange(): MemberChange = MemberChange(member, condition)
}

/**
 * Whether this change supersedes [known]. Of two processes with the same name, the one that started later is current,
 * because incarnations of a replacement start again from 0.
 */
internal fun MemberChange.replaces(known: MemberEntry): Boolean {
    val held = known.member
    return when {
        member.start != held.start -> member.startsAfter(held)
        member.incarnation != held.incarnation -> member.incarnation > held.incarnation
        else -> condition > known.condition
    }
}

internal fun Member.startsAfter(other: Member): Boolean =
    if (startedAt != other.startedAt) startedAt > other.startedAt else start.value > other.start.value
