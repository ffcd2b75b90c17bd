package redwingcross.process.membership

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** What a process does for the system. */
enum class ProcessRole { GATEWAY, CONTROLLER }

/** Random number that tells apart two processes with the same name. */
@JvmInline
value class StartId(val value: Long)

/** Raised only by the process itself, to refute a suspicion or to announce a change. */
@JvmInline
value class Incarnation(val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    internal fun next(): Incarnation = Incarnation(value + 1)
}

/** What a process announces about its own readiness. */
enum class Availability { STARTING, READY, LEAVING }

/** What one process believes about another. A later entry replaces an earlier one of the same incarnation. */
enum class MemberCondition { ALIVE, SUSPECT, DEAD, LEFT }

/** A process as it describes itself. */
data class Member(
    val name: ProcessName,
    val role: ProcessRole,
    val zone: AvailabilityZone,
    val peer: Endpoint,
    /** Where callers connect; null for a controller. */
    val caller: Endpoint?,
    val start: StartId,
    /** When the process started, on the clock of the process that holds this value; can be negative. */
    val startedAt: Duration,
    val incarnation: Incarnation = Incarnation(0),
    val availability: Availability = Availability.STARTING,
)

/** News about a member, as processes pass it on. */
data class MemberChange(val member: Member, val condition: MemberCondition)

/** A row of the member table. */
data class MemberEntry(
    val member: Member,
    val condition: MemberCondition,
    /** When the condition was entered. */
    val since: Duration,
    /** False for a suspicion raised while this process itself had no contact; it is not passed on. */
    val shared: Boolean = true,
) {
    internal val isPresent: Boolean
        get() = condition == MemberCondition.ALIVE || condition == MemberCondition.SUSPECT

    internal fun toChange(): MemberChange = MemberChange(member, condition)
}

/**
 * Whether [this] replaces [known]. Of two processes with the same name the one that started later is current, because
 * a replacement knows nothing of the incarnations of the process before it.
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
