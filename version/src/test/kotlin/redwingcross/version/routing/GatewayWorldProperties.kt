package redwingcross.version.routing

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import redwingcross.request.BackendServer
import redwingcross.version.control.CapacityLimits
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal enum class Fault(val happenTo: GatewayWorld.(Int) -> Unit) {
    NONE({ }),
    ISOLATE({ processOf(it).apply { isolatedUntil = maxOf(isolatedUntil, now + spell(it)) } }),
    CUT_PLATFORM({ processOf(it).platformCutUntil = now + spell(it) }),
    FREEZE({ processOf(it).frozenUntil = now + spell(it) }),
    RESTART({ restart(processOf(it), zombie = false) }),
    ZOMBIE({ restart(processOf(it), zombie = true) }),
    ROSTER({ changeRoster(it) }),
    ZONE({ changeOverrides { copy(zonesOut = zonesOut.toggle(zoneOf(it))) } }),
    VM({ changeOverrides { copy(drainedVms = drainedVms.toggle(vmsOf(it % GatewayWorld.GROUPS).last())) } }),
    SERVER({
        val leader = BackendServer(vmsOf(it % GatewayWorld.GROUPS).first().value)
        changeOverrides { copy(drainedServers = drainedServers.toggle(leader)) }
    }),
    LEAVING({ toggleLeaving(it % GatewayWorld.GROUPS) }),
    PLATFORM({ platformUp = !platformUp }),
    ENGINE({ restartEngine(it % GatewayWorld.GROUPS) }),
    COLD({ turnCold(it % GatewayWorld.GROUPS) }),
}

private fun spell(target: Int): Duration = (target * 4).seconds

private fun <Item> Set<Item>.toggle(item: Item): Set<Item> = if (item in this) this - item else this + item

/** A fault that happens to [target], and the time that passes until the next one. */
internal data class Step(val fault: Fault, val target: Int, val time: Duration)

/**
 * Guards against more requests at a backend server than it bears, summed over all gateways, and against new work for a
 * zone, VM or server later than 5 s after it was taken out or for a group whose newest status does not allow it.
 *
 * Excluded, by 5.2 (c) of the design page: a change that reaches no gateway of the majority while the platform is
 * unreachable for that majority only. Here the operator's command always pushes a change to one reachable gateway.
 */
internal class GatewayWorldProperties {
    @Property(seed = "20261204", tries = 40)
    fun `limits, zones, drains and statuses hold through faults`(
        @ForAll("plans") plan: List<Step>,
        @ForAll @IntRange(min = 2, max = 9) gateways: Int,
        @ForAll @IntRange(min = 1, max = 5) coldLimit: Int,
        @ForAll seed: Long,
    ) {
        val limits = CapacityLimits(coldLimit, warm = 16, rampStep = 5.seconds, heldBytes = Long.MAX_VALUE)
        val world = GatewayWorld(gateways, RouterSettings(), limits, seed)
        world.advance(150.seconds)
        plan.forEach { step -> world.carryOut(step) }
    }

    @Test
    fun `limits hold with 350 gateways and the requests are spread`() {
        val limits = CapacityLimits(cold = 2, warm = 64, rampStep = 5.seconds, heldBytes = Long.MAX_VALUE)
        val world = GatewayWorld(350, RouterSettings(), limits, seed = 20261204)
        world.advance(10.seconds)
        world.advance(125.seconds)
        listOf(Fault.ROSTER, Fault.ENGINE, Fault.ZONE, Fault.ENGINE).forEach { world.carryOut(Step(it, 1, 10.seconds)) }
        assertTrue(world.dispatched > 100, "${world.dispatched} requests were dispatched")
    }

    @Provide
    fun plans(): Arbitrary<List<Step>> {
        val times = Arbitraries.of(
            0.seconds,
            1.seconds,
            2.seconds,
            4.seconds,
            7.seconds,
            15.seconds,
            30.seconds,
            130.seconds,
        )
        return Combinators.combine(
            Arbitraries.of(*Fault.entries.toTypedArray()),
            Arbitraries.integers().between(0, 8),
            times,
        )
            .`as` { fault, target, time -> Step(fault, target, time) }
            .list().ofMinSize(10).ofMaxSize(40)
    }

    private fun GatewayWorld.carryOut(step: Step) {
        step.fault.happenTo(this, step.target)
        advance(step.time)
    }
}
