package redwingcross.process.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Timeouts, intervals and limits of the membership protocol. */
class MembershipSettings(
    /** Interval between probes; each probes one random member. */
    val probePeriod: Duration = 1.seconds,
    /** Time without an answer to a ping after which other members are requested to probe the target. */
    val directTimeout: Duration = 400.milliseconds,
    /** Number of members that are requested to probe a target that did not answer. */
    val indirectProbes: Int = 2,
    /** Time within which a suspected member must refute the suspicion before it is declared dead. */
    val suspicion: Duration = 3.seconds,
    /** A process that got no answer for longer than this is isolated and does not send its suspicions to others. */
    val isolationTimeout: Duration = 2.seconds,
    /** Gap between two ticks from which on this process is considered to have been paused. */
    val pauseThreshold: Duration = 1.seconds,
    /** Interval at which the whole member table is compared with that of a random member. */
    val syncPeriod: Duration = 10.seconds,
    /** Interval at which a dead member or a seed is contacted, so that a healed partition is detected. */
    val rejoinPeriod: Duration = 5.seconds,
    /**
     * Time for which members that are dead or left stay in the table. With a shorter time, an outdated entry from a
     * process that was paused or cut off would add them again.
     */
    val absentRetention: Duration = 5.minutes,
    /** Each change is sent this factor times log2(members) times. */
    val retransmitFactor: Int = 3,
    /** Size of the member table; members beyond it are ignored. */
    val maximumMembers: Int = 2048,
    /** Maximum encoded size of the changes in one ping or acknowledgement, in bytes. */
    val pingChangeBytes: Int = 600,
    /** Returns the encoded size of a change in bytes. */
    val sizeOf: (MemberChange) -> Int,
)
