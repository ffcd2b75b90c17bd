package redwingcross.process.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Thresholds and bounds of the attribution of crashes. */
object CrashLimits {
    /** Crashes before a trait is blocked. Two occur by chance while engines end every few seconds. */
    const val CRASHES_TO_BLOCK = 3

    /** Separate times of these crashes: the engines of a model that are lost together accuse all that was at them. */
    const val SEPARATE_TIMES_TO_BLOCK = 2

    /** Replaces [SEPARATE_TIMES_TO_BLOCK] amid other ends: a release or a failing zone ends engines over seconds. */
    const val SEPARATE_TIMES_TO_BLOCK_AMID_OTHERS = 3

    /** Of the crashes to block, those that no stronger trait explains: a common request may be at many such engines. */
    const val UNEXPLAINED_CRASHES_TO_BLOCK = 2

    /** Different attempts before a trait is blocked: one attempt is sent twice, and both engines may end by chance. */
    const val ATTEMPTS_TO_BLOCK = 2

    /** Replaces [ATTEMPTS_TO_BLOCK] amid other ends: a caller's repeats may meet a release or a failing zone again. */
    const val ATTEMPTS_TO_BLOCK_AMID_OTHERS = 3

    /** Crashes after which each of the traits that always occur together is listed. The users allow five crashes. */
    const val CRASHES_TO_LIST_TOGETHER = 5

    /** Crashes of one trait closer than this count once: a release or a loss of power ends many engines at a time. */
    val separation: Duration = 300.milliseconds

    /** Replaces [separation] for a crash amid many others of other requests: a silent loss is noticed over seconds. */
    val doubtfulSeparation: Duration = 2.seconds

    /** Ends within this time of a crash count as those around it. */
    val neighborhood: Duration = 1.seconds

    /** A crash is amid many others if those around it exceed those of the same trait by this factor. */
    const val MANY_OTHERS_RATIO = 4

    /** Ends within this time of a crash that no other trait explains. Engines that end every few seconds count. */
    val noiseWindow: Duration = 4.seconds

    /** Time that answers at other gateways have to clear a sound trait before it is blocked. */
    val clearingTime: Duration = 1500.milliseconds

    /** Replaces [clearingTime] amid other ends, and for traits that always occur together, one of them a common one. */
    val longClearingTime: Duration = 2.seconds

    /** Added for a trait of several requests at an engine: processes that answered it before tell the others. */
    val commonTraitTime: Duration = 500.milliseconds

    /** A crash that is known within this time can be cleared from its own time on: messages take as long to spread. */
    val promptConfirmationTime: Duration = 1.seconds

    /** Time that a report from another process has taken; it was confirmed there by then. */
    val reportTime: Duration = 500.milliseconds

    /** A crash that is older than this when it becomes known was confirmed elsewhere at least [clearingTime] before. */
    val longestConfirmationTime: Duration = EngineEndDetector.confirmationTime + clearingTime

    /**
     * An answer clears its traits of the crashes up to this much later. The loss of an engine is noticed up to 5 s
     * after it, and processes with little traffic answer a common trait every few seconds.
     */
    val answerLifetime: Duration = 10.seconds

    /** A crash whose traits saw no other crash for this time accuses nothing. */
    val accusationLifetime: Duration = 1.minutes

    /** A lift is kept longer than the crashes that it concerns. */
    val liftLifetime: Duration = 2.minutes

    /** Earlier reports of a time replace it only beyond this, so that delays of messages don't change the ledger. */
    val timeTolerance: Duration = 20.milliseconds

    /** Kept crashes: the engines of the two largest zones of 600 engines, which may be lost together. */
    const val CRASHES = 256

    /** Of the kept crashes, the newest that older blocks don't displace: three crashes at each of 21 traits. */
    const val NEWEST_CRASHES = 64

    /** Kept requests of a crash: twice the requests that an engine holds. */
    const val REQUESTS_PER_CRASH = 24

    /** A request with more traits is kept without those that were answered lately. */
    const val TRAITS_PER_REQUEST = 16

    /** Kept traits of a crash, counted for each request: those of [REQUESTS_PER_CRASH] prompts of some 340 parts. */
    const val TRAITS_PER_CRASH = 8_192

    /** Kept traits of all crashes, counted like those of a crash: 4,096 requests with [REQUESTS_PER_CRASH] each. */
    const val TRAITS = 98_304

    /**
     * Kept traits of [AnsweredTraits]: 80 requests a second, each with five parts, for [answerLifetime]. Half of them
     * are for traits that were answered again: prompts of many new parts don't displace those that requests share.
     */
    const val ANSWERED_TRAITS = 5_120

    /** Kept lifts: an operator lifts single traits. */
    const val LIFTS = 64

    /** Kept characters of an attempt id, which callers choose: those of the longest id of a trait. */
    const val ATTEMPT_CHARACTERS = 64

    /** Bound of the size of an encoded [CrashEvidence]: leaves room for the sender in a datagram of 8,000 bytes. */
    const val EVIDENCE_BYTES = 6_500

    /** Room for a crash in a message: one request with the most traits, of the longest ids, takes 1,200 bytes. */
    const val SMALLEST_EVIDENCE_SHARE = 1_400
}
