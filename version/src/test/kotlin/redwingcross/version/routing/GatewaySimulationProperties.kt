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

internal enum class Fault(val inject: GatewaySimulation.(Int) -> Unit) {
    NONE({ }),
    ISOLATE({ processOf(it).apply { isolatedUntil = maxOf(isolatedUntil, now + faultDuration(it)) } }),
    CUT_PLATFORM({ processOf(it).platformCutUntil = now + faultDuration(it) }),
    FREEZE({ processOf(it).frozenUntil = now + faultDuration(it) }),
    RESTART({ restart(processOf(it), zombie = false) }),
    ZOMBIE({ restart(processOf(it), zombie = true) }),
    ROSTER({ changeGatewaySet(it) }),
    ZONE({ changeOverrides { copy(zonesOut = zonesOut.toggle(zoneOf(it))) } }),
    VM({ changeOverrides { copy(drainedVms = drainedVms.toggle(vmsOf(it % GatewaySimulation.GROUPS).last())) } }),
    SERVER({
        val leader = BackendServer(vmsOf(it % GatewaySimulation.GROUPS).first().value)
        changeOverrides { copy(drainedServers = drainedServers.toggle(leader)) }
    }),
    LEAVING({ toggleLeaving(it % GatewaySimulation.GROUPS) }),
    PLATFORM({ platformUp = !platformUp }),
    ENGINE({ restartEngine(it % GatewaySimulation.GROUPS) }),
    COLD({ turnCold(it % GatewaySimulation.GROUPS) }),
}

private fun faultDuration(target: Int): Duration = (target * 4).seconds

private fun <Item> Set<Item>.toggle(item: Item): Set<Item> = if (item in this) this - item else this + item

/** A fault that is injected into [target], and the time until the next one. */
internal data class Step(val fault: Fault, val target: Int, val time: Duration)

/**
 * Guards against requests of all gateways together exceeding the limit of a backend server, and against new requests
 * for a zone, VM or server more than 5 s after it was taken out of service, or for a group whose newest status does not
 * allow them.
 *
 * Not covered, because section 5.2 (c) of the design page excludes it: a change that reaches no gateway of the majority
 * while the platform is unreachable for that majority only. Here the operator's command sends every change to one
 * reachable gateway.
 */
internal class GatewaySimulationProperties {
    @Property(seed = "20261204", tries = 40)
    fun `limits, evacuated zones, drains and statuses are respected despite faults`(
        @ForAll("plans") plan: List<Step>,
        @ForAll @IntRange(min = 2, max = 9) gateways: Int,
        @ForAll @IntRange(min = 1, max = 5) coldLimit: Int,
        @ForAll seed: Long,
    ) {
        val limits = CapacityLimits(coldLimit, warm = 16, rampStep = 5.seconds, heldBytes = Long.MAX_VALUE)
        val simulation = GatewaySimulation(gateways, RouterSettings(), limits, seed)
        simulation.advance(150.seconds)
        plan.forEach { step -> simulation.carryOut(step) }
    }

    @Test
    fun `350 gateways respect the limits and still dispatch requests`() {
        val limits = CapacityLimits(cold = 2, warm = 64, rampStep = 5.seconds, heldBytes = Long.MAX_VALUE)
        val simulation = GatewaySimulation(350, RouterSettings(), limits, seed = 20261204)
        simulation.advance(10.seconds)
        simulation.advance(125.seconds)
        listOf(Fault.ROSTER, Fault.ENGINE, Fault.ZONE, Fault.ENGINE).forEach {
            simulation.carryOut(Step(it, 1, 10.seconds))
        }
        assertTrue(simulation.dispatched > 100, "${simulation.dispatched} requests were dispatched")
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

    private fun GatewaySimulation.carryOut(step: Step) {
        step.fault.inject(this, step.target)
        advance(step.time)
    }
}
