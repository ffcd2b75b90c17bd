package redwingcross.process.lifecycle

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple
import redwingcross.process.membership.ProcessRole
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a shutdown that refuses or interrupts requests, keeps leases, or ignores the second stop request. */
class ShutdownProperties {
    @Provide
    fun messages(): Arbitrary<List<ShutdownMessage>> = Arbitraries
        .frequencyOf(
            Tuple.of(1, Arbitraries.just(ShutdownMessage.StopRequested)),
            Tuple.of(10, Arbitraries.just(ShutdownMessage.Tick)),
            Tuple.of(5, Arbitraries.integers().between(0, 2).map { ShutdownMessage.InFlight(it) }),
            Tuple.of(1, Arbitraries.just(ShutdownMessage.LeasesReleased)),
        ).list()
        .ofMaxSize(80)

    @Property(seed = "20261204", tries = 1000)
    fun `a shutdown announces, waits, drains and exits once, and a second stop request ends it`(
        @ForAll role: ProcessRole,
        @ForAll("messages") messages: List<ShutdownMessage>,
        @ForAll stepMillis: Short,
    ) {
        val shutdown = Shutdown(role)
        var state = ShutdownState()
        var now = Duration.ZERO
        var requestedAt: Duration? = null
        var requests = 0
        val effectsSoFar = mutableListOf<ShutdownEffect>()
        for (message in messages) {
            now += (Math.floorMod(stepMillis.toInt(), 4_000) + 1).milliseconds
            if (message == ShutdownMessage.StopRequested) requests++
            if (requests == 1 && requestedAt == null) requestedAt = now
            val (next, effects) = shutdown.step(state, message, now)
            state = next
            effectsSoFar += effects
            effects.forEach { check(it, role, state, now - checkNotNull(requestedAt), effectsSoFar) }
        }
        assertTrue(effectsSoFar.count { it is ShutdownEffect.Exit } <= 1, "exits more than once")
        if (requests >= 2) assertEquals(ShutdownPhase.Finished, state.phase)
    }

    private fun check(
        effect: ShutdownEffect,
        role: ProcessRole,
        state: ShutdownState,
        since: Duration,
        effectsSoFar: List<ShutdownEffect>,
    ) {
        if (effect == ShutdownEffect.StopAccepting) assertTrue(since >= 12.seconds, "refuses requests after $since")
        if (effect !is ShutdownEffect.Exit || effect.isImmediate) return
        val isTimedOut = since >= if (role == ProcessRole.GATEWAY) 137.seconds else 5.seconds
        assertTrue(effect.openCount == 0 || isTimedOut, "exits with open requests or leases after $since")
        assertEquals(role == ProcessRole.GATEWAY, ShutdownEffect.StopAccepting in effectsSoFar)
        assertEquals(role == ProcessRole.CONTROLLER, effectsSoFar.first() == ShutdownEffect.ReleaseLeases)
        if (role == ProcessRole.GATEWAY) assertEquals(state.inFlight, effect.openCount)
    }
}
