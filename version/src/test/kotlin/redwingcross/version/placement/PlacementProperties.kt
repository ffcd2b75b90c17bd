package redwingcross.version.placement

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import redwingcross.request.Vm
import redwingcross.version.simulation.LostWrite
import redwingcross.version.simulation.SimulatedZone
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a VM in two groups, a serving group with members of different generations, a group published as ready
 * that is not, and groups that are never repaired. [SimulatedZone] checks these invariants.
 */
class PlacementProperties {
    /** The zone and the controller, engine or domain to which a step applies. */
    internal class StepTarget(val zone: SimulatedZone, step: Step) {
        val amount = step.amount
        val length = (step.amount * 700).milliseconds
        val domain = step.which % 2
        val controller = zone.controllers[step.which % 2]
        val engine = zone.engines.values.toList()[step.which]
        val objects = listOf(zone.lease, zone.placement)
    }

    enum class Kind(internal val apply: StepTarget.() -> Unit) {
        WAIT({ zone.time.advance(length * 3, zone::check) }),
        PAUSE_CONTROLLER({ controller.pause(length) }),
        RESTART_CONTROLLER({ controller.restart() }),
        RELEASE_LEASE({ controller.release() }),
        HOLD_ORDERS({ controller.holdOrdersUntil = zone.time.now + length }),
        SLOW_ORDERS({ controller.orderDelay = (amount * 225 + 20).milliseconds }),
        OUTAGE({ objects.forEach { it.downUntil = zone.time.now + length } }),
        STALE_READS({ objects.forEach { it.staleReads = amount % 4 } }),
        SLOW_PLATFORM({ objects.forEach { it.delay = (amount * 100 + 10).milliseconds } }),
        LOSE_ANSWERS({
            zone.placement.lostWrites += List(1 + amount % 3) { LostWrite.entries[(amount + it) % 3] }
            zone.lease.lostWrites += LostWrite.entries[amount % 3]
        }),
        CRASH({ engine.crash() }),
        SILENCE({ engine.silentUntil = zone.time.now + length * 3 }),
        SILENT_DOMAIN({ zone.inDomain(domain).forEach { it.silentUntil = zone.time.now + length * 3 } }),
        CUT_OFF({ zone.cutOff(domain, amount % 2, length * 2) }),
        DRAIN({ zone.changeOverrides { copy(drainedVms = drainedVms + engine.vm) } }),
        LEAVE({ zone.changeLeaving(zone.leaving + engine.vm) }),
        RETURN({
            zone.changeOverrides { copy(drainedVms = emptySet()) }
            zone.changeLeaving(emptySet())
        }),
        ZONE_OUT({ zone.changeOverrides { copy(zonesOut = setOf(zone.name)) } }),
        ZONE_BACK({ zone.changeOverrides { copy(zonesOut = emptySet()) } }),
        NEW_MODEL_VERSION({ zone.changeBundle("${2 + amount % 2}", 2) }),
        FEWER_GROUPS({ zone.changeBundle("1", 1) }),
        MORE_GROUPS({ zone.changeBundle("1", 3) }),
    }

    data class Step(val kind: Kind, val which: Int, val amount: Int) {
        override fun toString() = "$kind($which, $amount)"
    }

    @Provide
    fun scripts(): Arbitrary<List<Step>> = Combinators
        .combine(
            Arbitraries.of(Kind::class.java),
            Arbitraries.integers().between(0, 9),
            Arbitraries.integers().between(0, 20),
        )
        .`as`(::Step)
        .list()
        .ofMinSize(5)
        .ofMaxSize(40)

    @Property(seed = "5401", tries = 350)
    fun `no VM is in two groups and no group of mixed generations serves or is published as ready`(
        @ForAll("scripts") script: List<Step>,
    ) {
        val zone = SimulatedZone()
        script.forEach { applyStep(it, zone) }
        clearFaults(zone)
        zone.time.advance(3.minutes, zone::check)
        assertEquals(3, zone.readyGroups.size, "groups after the faults; ${zone.log.takeLast(40).joinToString("\n")}")
    }

    @Provide
    fun shortPauses(): Arbitrary<List<Step>> = Combinators
        .combine(
            Arbitraries.of(Kind.WAIT, Kind.PAUSE_CONTROLLER, Kind.SILENCE, Kind.SILENT_DOMAIN, Kind.OUTAGE),
            Arbitraries.integers().between(0, 9),
            Arbitraries.integers().between(0, 2),
        ).`as`(::Step)
        .list()
        .ofMinSize(5)
        .ofMaxSize(30)

    @Property(seed = "5402", tries = 200)
    fun `short pauses of members and pauses of controllers of any length rebuild no group`(
        @ForAll("shortPauses") script: List<Step>,
        @ForAll @IntRange(max = 60) pause: Int,
    ) {
        val zone = SimulatedZone()
        zone.time.advance(20.seconds, zone::check)
        assertEquals(3, zone.readyGroups.size)
        val formed = zone.placement.versions.last().second.groups
        script.forEach {
            applyStep(it, zone)
            zone.time.advance(5.seconds, zone::check)
        }
        zone.engines.values.forEach { it.silentUntil = zone.time.now + 2.seconds }
        zone.time.advance(1500.milliseconds, zone::check)
        zone.controllers.forEach { it.pause(pause.seconds) }
        zone.time.advance(2.minutes, zone::check)
        assertEquals(3, zone.readyGroups.size)
        val written = zone.placement.versions.map { it.second.groups }.dropWhile { it != formed }
        assertEquals(setOf(formed), written.toSet())
    }

    /** The engine that restarts ignores fencing tokens, and the previous holder's order to it is still in flight. */
    @Property(seed = "5403", tries = 100)
    fun `an engine that ignores fencing tokens gets no order of a previous holder after one of the new holder`(
        @ForAll @IntRange(max = 20) travel: Int,
        @ForAll @IntRange(max = 20) release: Int,
    ) {
        val zone = SimulatedZone()
        zone.time.advance(20.seconds, zone::check)
        zone.controllers.first().orderDelay = (travel * 225).milliseconds
        zone.engines.getValue(Vm("d1-1")).crash()
        zone.time.advance((release * 150).milliseconds, zone::check)
        zone.controllers.first().release()
        zone.time.advance(1.minutes, zone::check)
        assertEquals(3, zone.readyGroups.size)
    }

    /** The platform reports the new lease holder late, while an engine that ignores fencing tokens needs an order. */
    @Property(seed = "5404", tries = 100)
    fun `a holder that was paused until after its lease expired sends no orders when it resumes`(
        @ForAll @IntRange(max = 30) pause: Int,
        @ForAll @IntRange(max = 20) crash: Int,
    ) {
        val zone = SimulatedZone()
        zone.time.advance(20.seconds, zone::check)
        zone.controllers.first().pause((45 + pause).seconds)
        zone.time.advance(35.seconds, zone::check)
        zone.engines.getValue(Vm("d1-1")).crash()
        zone.time.advance((9 + pause).seconds, zone::check)
        zone.lease.delay = 2.seconds
        zone.time.advance((crash * 150).milliseconds, zone::check)
        zone.engines.getValue(Vm("d1-1")).crash()
        zone.time.advance(1.minutes, zone::check)
        assertEquals(3, zone.readyGroups.size)
    }

    @Provide
    fun crashes(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 9).list().ofMaxSize(8)

    @Property(seed = "5405", tries = 60)
    fun `no more VMs load weights at once than the limit allows`(@ForAll("crashes") crashes: List<Int>) {
        val zone = SimulatedZone(controllers = 1, PlacementSettings(maxConcurrentLoads = 3))
        val check = {
            zone.check()
            assertTrue(zone.engines.values.count { it.isLoading } <= 3, zone.log.joinToString("\n"))
        }
        crashes.forEach {
            zone.time.advance(3.seconds, check)
            zone.engines.values.toList()[it].crash()
        }
        zone.time.advance(1.minutes, check)
        assertEquals(3, zone.readyGroups.size)
    }

    private fun applyStep(step: Step, zone: SimulatedZone) {
        step.kind.apply(StepTarget(zone, step))
        zone.time.advance(100.milliseconds, zone::check)
    }

    private fun clearFaults(zone: SimulatedZone) {
        listOf(zone.lease, zone.placement).forEach {
            it.lostWrites.clear()
            it.staleReads = 0
            it.delay = 10.milliseconds
            it.downUntil = Duration.ZERO
        }
        zone.controllers.forEach {
            it.holdOrdersUntil = Duration.ZERO
            it.orderDelay = 20.milliseconds
            it.restart()
        }
        zone.changeOverrides { copy(zonesOut = emptySet(), drainedVms = emptySet()) }
        zone.changeLeaving(emptySet<Vm>())
        zone.changeBundle("1", 2)
        zone.time.advance(45.seconds, zone::check)
    }
}
