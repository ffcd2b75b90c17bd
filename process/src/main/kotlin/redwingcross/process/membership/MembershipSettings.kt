package redwingcross.process.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Times and bounds of the membership protocol. */
class MembershipSettings(
    /** One random member is probed in each period. */
    val probePeriod: Duration = 1.seconds,
    /** After this time without an answer other members are asked to probe the target. */
    val directTimeout: Duration = 400.milliseconds,
    val indirectProbes: Int = 2,
    /** Time that a suspected member has to refute the suspicion. */
    val suspicion: Duration = 3.seconds,
    /** Without any answer for this long the process takes itself for isolated and does not pass on suspicions. */
    val isolation: Duration = 2.seconds,
    /** A gap between ticks that counts as a pause of this process. */
    val pause: Duration = 1.seconds,
    /** How often the whole table is compared with that of a random member. */
    val syncPeriod: Duration = 10.seconds,
    /** How often an absent member or seed is contacted, so that the sides of a healed partition find each other. */
    val rejoinPeriod: Duration = 5.seconds,
    /**
     * Absent members are kept this long. A shorter time would let an outdated record from a process that was paused
     * or cut off bring them back.
     */
    val forgetAfter: Duration = 5.minutes,
    /** A change is sent this many times log2(members). */
    val retransmitFactor: Int = 3,
    /** Further members are ignored. */
    val maximumMembers: Int = 2048,
    /** Encoded bytes of changes in one ping or acknowledgement. */
    val pingChangeBytes: Int = 600,
    /** Encoded size of a change in bytes. */
    val sizeOf: (MemberChange) -> Int,
)
