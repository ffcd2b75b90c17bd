package redwingcross.version.lease

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import redwingcross.version.simulation.LostWrite
import redwingcross.version.simulation.RestorableLeases
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two valid leases, two processes that act under one epoch, an epoch that is acquired twice and a lease
 * that no process acquires any more after the store has come back from an older copy of its data.
 */
class LeaseRestoreProperties {
    enum class Kind { WAIT, PAUSE, RESTART, RELEASE, OUTAGE, RESTORE, STALE_READS, LOSE_ANSWERS, SLOW, CUT_OFF }

    data class Step(val kind: Kind, val process: Int, val amount: Int) {
        override fun toString() = "$kind($process, $amount)"
    }

    @Provide
    fun scripts(): Arbitrary<List<Step>> = Combinators
        .combine(
            Arbitraries.of(Kind::class.java),
            Arbitraries.integers().between(0, 2),
            Arbitraries.integers().between(0, 20),
        )
        .`as`(::Step)
        .list()
        .ofMinSize(5)
        .ofMaxSize(60)

    private fun RestorableLeases.applyStep(step: Step) {
        val process = processes[step.process]
        val length = (step.amount * 150).milliseconds
        when (step.kind) {
            Kind.WAIT -> time.advance(length * 2, ::check)
            Kind.PAUSE -> process.pausedUntil = maxOf(process.pausedUntil, time.now + length)
            Kind.RESTART -> process.restart()
            Kind.RELEASE -> process.release()
            Kind.OUTAGE -> store.downUntil = time.now + length
            Kind.RESTORE -> {
                store.downUntil = time.now + length
                time.advance(length, ::check)
                store.restore(lost = step.amount)
            }
            Kind.STALE_READS -> store.staleReads = step.amount / 4
            Kind.LOSE_ANSWERS ->
                store.lostWrites += List(1 + step.amount % 3) { LostWrite.entries[(step.amount + it) % 3] }
            Kind.SLOW -> store.delay = (step.amount * 20).milliseconds
            Kind.CUT_OFF -> process.cutOffUntil = time.now + length
        }
        time.advance(100.milliseconds, ::check)
    }

    private fun RestorableLeases.clearFaults() {
        store.lostWrites.clear()
        store.staleReads = 0
        store.delay = 10.milliseconds
        store.downUntil = Duration.ZERO
        processes.forEach {
            it.cutOffUntil = Duration.ZERO
            if (it.state.releasing) it.restart()
        }
    }

    private fun checkScript(script: List<Step>, leases: RestorableLeases) {
        script.forEach { leases.applyStep(it) }
        leases.clearFaults()
        leases.timeToHolder(LONGEST_PAUSE + LONGEST_DELAYED_WRITE + RECOVERY)
        leases.time.advance(10.seconds, leases::check)
        assertEquals(1, leases.valid().size, "processes with a valid lease 10 s after the recovery")
    }

    @Property(seed = "5601", tries = 1000)
    fun `restores never make two valid leases or two controllers under one epoch and a process acts again`(
        @ForAll("scripts") script: List<Step>,
    ) {
        checkScript(script, RestorableLeases(settings))
    }

    @Property(seed = "5602", tries = 1000)
    fun `the same holds if restarted holders take back the leases of their earlier starts`(
        @ForAll("scripts") script: List<Step>,
    ) {
        checkScript(script, RestorableLeases(settings.copy(reclaimsAfterRestart = true)))
    }

    @Property(seed = "5602", tries = 5000)
    fun `an epoch is never acquired twice`(@ForAll("scripts") script: List<Step>) {
        val leases = RestorableLeases(settings.copy(reclaimsAfterRestart = true))
        checkScript(script, leases)
        assertEquals(emptySet(), leases.repeated, "epochs that were acquired again")
    }

    @Property(seed = "5603", tries = 200)
    fun `a holder that follows an outage acts again at once after the restore`(
        @ForAll("lostVersions") lost: Int,
        @ForAll("outageMillis") outageMillis: Int,
    ) {
        val outage = outageMillis.milliseconds
        val leases = RestorableLeases(settings)
        leases.time.advance(12.seconds, leases::check)
        val holder = leases.valid().single().index
        leases.store.downUntil = leases.time.now + outage
        leases.time.advance(outage, leases::check)
        leases.store.restore(lost)
        // The next call is at most a retry interval and a tick away, then come two reads and a write.
        val limit = settings.retryInterval + 300.milliseconds
        leases.time.advance(limit, leases::check)
        assertEquals(listOf(holder), leases.valid().map { it.index }, "processes with a valid lease after $limit")
    }

    @Provide
    fun lostVersions(): Arbitrary<Int> = Arbitraries.integers().between(0, 40)

    @Provide
    fun outageMillis(): Arbitrary<Int> = Arbitraries.integers().between(0, 6000)

    private companion object {
        val LONGEST_PAUSE = 3.seconds
        val LONGEST_DELAYED_WRITE = 3.seconds

        /** Twice the lease duration, the rank delay of the last standby, and some calls. */
        val RECOVERY = 4.seconds
        val settings = LeaseSettings(
            duration = 1.2.seconds,
            renewInterval = 0.5.seconds,
            margin = 0.2.seconds,
            retryInterval = 0.3.seconds,
            rankDelay = 0.2.seconds,
            renewalOverdueAfter = 0.95.seconds,
            confirmDelay = 0.4.seconds,
            outageRetryInterval = 2.seconds,
        )
    }
}
