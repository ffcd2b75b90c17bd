package redwingcross.request.forward

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import redwingcross.request.BackendServer
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Plays a request through random ends of its offers and checks what its caller is told. */
class ForwardDecisionProperties {
    @Provide
    fun ends(): Arbitrary<List<OfferResult>> = Arbitraries.of(
        OfferResult.NotSent,
        OfferResult.Declined,
        OfferResult.Failed,
        OfferResult.Lost,
        OfferResult.Stalled,
    ).list().ofMinSize(1).ofMaxSize(8)

    @Provide
    fun kinds(): Arbitrary<Repeatability> = Arbitraries.of(*Repeatability.entries.toTypedArray())

    @Property(seed = "41")
    fun `a request that must run once is never offered again after it may have run`(
        @ForAll("ends") ends: List<OfferResult>,
        @ForAll("kinds") kind: Repeatability,
    ) {
        val play = play(kind, ends, maximumSends = 3)
        if (!kind.isRepeatable) assertTrue(play.offersAfterPossibleRun == 0, "ends $ends")
    }

    @Property(seed = "42")
    fun `a refusal is given only if no back end can have run the request`(
        @ForAll("ends") ends: List<OfferResult>,
        @ForAll("kinds") kind: Repeatability,
    ) {
        val play = play(kind, ends, maximumSends = 2)
        if (play.last == ForwardStep.Refuse) assertFalse(play.mayHaveRun, "ends $ends")
    }

    @Property(seed = "43")
    fun `no request is sent to more back ends than its route allows`(
        @ForAll("ends") ends: List<OfferResult>,
        @ForAll("kinds") kind: Repeatability,
    ) {
        assertTrue(play(kind, ends, maximumSends = 2).sends <= 2, "ends $ends")
    }

    @Property(seed = "44")
    fun `a stalled request is moved only if it can be offered again`(
        @ForAll("ends") ends: List<OfferResult>,
        @ForAll("kinds") kind: Repeatability,
    ) {
        val sends = ends.count { it != OfferResult.NotSent }
        val state = ForwardState(ForwardLimits(kind, 3, deadline = 10.seconds), sends = sends, answerStarted = true)
        val moved = state.copy(sends = sends + 1, mayHaveRun = true)
        val next = ForwardDecision.afterOffer(moved, OfferResult.Stalled, Duration.ZERO) { true }
        assertEquals(next is ForwardStep.OfferAgain, ForwardDecision.canRedispatch(state), "$kind sends $sends")
    }

    private class Play(
        val last: ForwardStep?,
        val sends: Int,
        val mayHaveRun: Boolean,
        val offersAfterPossibleRun: Int,
    )

    private fun play(kind: Repeatability, ends: List<OfferResult>, maximumSends: Int): Play {
        var state = ForwardState(ForwardLimits(kind, maximumSends, deadline = 10.seconds))
        var offersAfterRun = 0
        var step: ForwardStep? = null
        for ((index, end) in ends.withIndex()) {
            if (state.mayHaveRun) offersAfterRun++
            val mayHaveRun = end != OfferResult.NotSent && end != OfferResult.Declined
            state = state.copy(
                offered = state.offered + BackendServer("server-$index"),
                sends = state.sends + if (end == OfferResult.NotSent) 0 else 1,
                mayHaveRun = state.mayHaveRun || mayHaveRun,
            )
            step = ForwardDecision.afterOffer(state, end, Duration.ZERO) { true }
            if (step !is ForwardStep.OfferAgain) break
        }
        return Play(step, state.sends, state.mayHaveRun, offersAfterRun)
    }
}
