package redwingcross.version.lease

import kotlin.time.Duration

/** Why a process doesn't act under the lease or acquire it now, for its log. */
enum class TakeoverObstacle {
    /** The process is shutting down. */
    RELEASING,

    /** The process holds the lease, but its last renewal is too old to act. */
    RENEWAL_OVERDUE,

    /** It is not known whether a write took effect. */
    WRITE_OUTCOME_UNKNOWN,

    /** The lease must be read first. */
    LEASE_NOT_READ,

    /** The holder was heard, and the store has not shown an unchanged lease yet. */
    STORE_NOT_CONFIRMED,

    /** The last renewal that is known is not old enough. */
    LEASE_NOT_EXPIRED,

    /** A read or write is in progress or waits for its time. */
    CALL_PENDING,
}

/** What keeps this process from acting or acquiring the lease at [now]. */
fun LeaseState.takeoverObstacle(now: Duration): TakeoverObstacle = when {
    releasing -> TakeoverObstacle.RELEASING
    held != null -> TakeoverObstacle.RENEWAL_OVERDUE
    pending != null -> TakeoverObstacle.WRITE_OUTCOME_UNKNOWN
    seen == null -> TakeoverObstacle.LEASE_NOT_READ
    canTakeOver(now) -> TakeoverObstacle.CALL_PENDING
    takeoverAt(now).isInfinite() -> TakeoverObstacle.STORE_NOT_CONFIRMED
    else -> TakeoverObstacle.LEASE_NOT_EXPIRED
}
