package redwingcross.process.crash

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.statistics.Statistics
import redwingcross.request.PromptPart
import java.util.function.Predicate
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a request that still reaches engines long after it has ended three, and against sound requests that
 * are blocked because many are alike or repeated while engines end for other reasons.
 */
class WholeRequestProperties {
    @Property(seed = "20261222", tries = 300, shrinking = ShrinkingMode.OFF)
    fun `a deadly request reaches engines at most three times later than 3 s after its third crash`(
        @ForAll seed: Long,
    ) = checkBlocked(deadly(seed, 8))

    @Property(seed = "20261223", tries = 5, shrinking = ShrinkingMode.OFF)
    fun `a deadly request is blocked at 95 gateways`(@ForAll seed: Long) =
        checkBlocked(deadly(seed, 95).copy(requestsPerSecond = 400))

    @Property(seed = "20261224", tries = 2, shrinking = ShrinkingMode.OFF)
    fun `a deadly request is blocked at 350 gateways`(@ForAll seed: Long) =
        checkBlocked(deadly(seed, 350).copy(requestsPerSecond = 800, duration = 15.seconds))

    @Property(seed = "20261225", tries = 200, shrinking = ShrinkingMode.OFF)
    fun `a deadly request is blocked with knowledge up to 2 s old`(@ForAll seed: Long) =
        checkBlocked(deadly(seed, 8).copy(messageDelay = 1.seconds))

    @Property(seed = "20261226", tries = 200, shrinking = ShrinkingMode.OFF)
    fun `two deadly requests at once are both blocked`(@ForAll seed: Long) = checkBlocked(deadly(seed, 8, requests = 2))

    @Property(seed = "20261227", tries = 200, shrinking = ShrinkingMode.OFF)
    fun `a deadly request is blocked while engines end by themselves`(@ForAll seed: Long) =
        checkBlocked(deadly(seed, 8).copy(ends = drawnEnds(Random(seed), 24)))

    @Property(seed = "20261228", tries = 200, shrinking = ShrinkingMode.OFF)
    fun `a deadly request is blocked while gateways die and lose their evidence`(@ForAll seed: Long) {
        val random = Random(seed)
        val deaths = List(random.nextInt(1, 4)) { GatewayDeath(time(random, 10.seconds), it * 3) }
        checkBlocked(deadly(seed, 8).copy(deaths = deaths))
    }

    @Property(seed = "20261229", tries = 200, shrinking = ShrinkingMode.OFF)
    fun `a deadly request is blocked by the others while a gateway is cut from its peers`(@ForAll seed: Long) {
        checkBlocked(withCut(seed))
    }

    @Property(seed = "20270102", tries = 200, shrinking = ShrinkingMode.OFF)
    fun `a gateway that was cut from its peers blocks a deadly request once it is back`(@ForAll seed: Long) {
        val scenario = withCut(seed)
        val simulation = CrashSimulation(scenario).run()
        val deadly = scenario.deadly.single()
        val bound = simulation.crashes.getValue(deadly.digest).getOrNull(2)?.let { it + 3.seconds } ?: return
        if (bound >= scenario.duration) return
        assertEquals(0, simulation.gatewaysWithoutBlock(deadly.traits), "gateways without block; $scenario")
    }

    @Property(seed = "20261230", tries = 500, shrinking = ShrinkingMode.OFF)
    fun `a release or the loss of a zone blocks no sound request for long`(@ForAll seed: Long) = checkSound(
        CrashScenario(
            seed,
            gateways = 8,
            duration = LONG_RUN,
            ends = drawnEnds(Random(seed), 24),
            resendsSuspects = false,
        ),
    )

    @Property(seed = "20261231", tries = 500, shrinking = ShrinkingMode.OFF)
    fun `the loss of all engines of a kind blocks no sound request for long`(@ForAll seed: Long) =
        checkSound(drawnLoss(seed, noticedWithin = 50.milliseconds))

    @Property(seed = "20270101", tries = 500, shrinking = ShrinkingMode.OFF)
    fun `the loss of all engines of a kind that is noticed over 1500 ms blocks no sound request for long`(
        @ForAll seed: Long,
    ) = checkSound(drawnLoss(seed, noticedWithin = SLOW_NOTICE))

    /** The users' bound: three requests later than 3 s after the third crash. */
    private fun checkBlocked(scenario: CrashScenario) {
        val simulation = CrashSimulation(scenario).run()
        scenario.deadly.forEach { deadly ->
            val crashes = simulation.crashes.getValue(deadly.digest)
            Statistics.label("engines ended by a deadly request").collect(crashes.size)
            val bound = crashes.getOrNull(2)?.let { it + 3.seconds } ?: Duration.INFINITE
            checkBoundIsCommon(bound < scenario.duration)
            if (bound >= scenario.duration) return@forEach
            val late = simulation.crashingSends.getValue(deadly.digest).count { it > bound }
            val lateByCut = simulation.cutSends.getValue(deadly.digest).count { it > bound }
            Statistics.label("requests after the bound").collect(late)
            Statistics.label("of these by a gateway without peers").collect(lateByCut)
            assertTrue(late <= 3, "$late requests after $bound, $lateByCut without peers; $crashes; $scenario")
            val open = simulation.gatewaysWithoutBlock(deadly.traits)
            if (scenario.cuts.isEmpty() &&
                scenario.ends.isEmpty()
            ) {
                assertEquals(0, open, "gateways without block; $scenario")
            }
            Statistics.label("gateways without block at the end").collect(open)
        }
        Statistics.label("refusals of sound requests").collect(simulation.soundRefusals)
    }

    /** Guards against histories in which the bound holds because the request hardly ends three engines. */
    private fun checkBoundIsCommon(isReached: Boolean) {
        val statistics = Statistics.label("requests with three crashes 3 s before the end")
        statistics.collect(isReached)
        statistics.coverage { it.check(true).percentage(Predicate { share -> share >= 90.0 }) }
    }

    private fun checkSound(scenario: CrashScenario) {
        val simulation = CrashSimulation(scenario).run()
        val lastEnd = (scenario.ends.map { it.at } + scenario.losses.map { it.at }).maxOrNull() ?: Duration.ZERO
        Statistics.label("refusals of sound requests").collect(simulation.soundRefusals)
        assertEquals(emptyList(), simulation.soundBlocks.filter { it.first > lastEnd + 6.seconds }, "$scenario")
        val refused = simulation.popularRefusals.filter { it.lastAnswer != null && it.lastAnswer >= it.at - 10.seconds }
        assertEquals(emptyList(), refused, "popular requests refused after answers; $scenario")
        assertTrue(simulation.soundSends > 100, "${simulation.soundSends} requests were sent")
    }

    private fun deadly(seed: Long, gateways: Int, requests: Int = 1): CrashScenario {
        val random = Random(seed)
        val drawn = List(requests) { drawnDeadly(random, it) }
        return CrashScenario(seed, gateways, duration = LONG_RUN, deadly = drawn, resendsSuspects = false)
    }

    /** Draws a cut that ends at least 5 s before the run. */
    private fun withCut(seed: Long): CrashScenario {
        val random = Random(seed)
        val from = time(random, 6.seconds)
        val cut = GatewayCut(random.nextInt(8), from, from + 2.seconds + 6.seconds * random.nextDouble())
        return deadly(seed, 8).copy(cuts = listOf(cut))
    }

    private fun drawnDeadly(random: Random, kind: Int) = DeadlyRequest(
        kind,
        pause = (200 + random.nextInt(2_800)).milliseconds,
        from = time(random, 4.seconds),
        parts = if (random.nextBoolean()) {
            setOf(
                "first-$kind",
                "subject-$kind-0",
            ).map(::PromptPart).toSet()
        } else {
            setOf()
        },
    )

    /** Draws single ends, the loss of a third of the engines, and a release of a third, at least one of these. */
    private fun drawnEnds(random: Random, engines: Int): List<EngineEnd> {
        val choice = random.nextInt(1, 8)
        val ends = ArrayList<EngineEnd>()
        if (choice and 1 != 0) repeat(5) { ends += EngineEnd(time(random, 7.seconds), random.nextInt(engines)) }
        if (choice and 2 != 0) {
            val at = time(random, 7.seconds)
            val noticedWithin = if (random.nextBoolean()) 50.milliseconds else SLOW_NOTICE
            (0 until engines step 3).forEach { ends += EngineEnd(at, it, noticedWithin) }
        }
        if (choice and 4 != 0) {
            val at = time(random, 7.seconds)
            val step = 50.milliseconds * random.nextInt(1, 10)
            (1 until engines step 3).forEachIndexed { index, engine -> ends += EngineEnd(at + step * index, engine) }
        }
        return ends
    }

    private fun drawnLoss(seed: Long, noticedWithin: Duration): CrashScenario {
        val random = Random(seed)
        val kinds = (0 until 5).shuffled(random).take(random.nextInt(1, 3))
        return CrashScenario(
            seed,
            gateways = 8,
            duration = LONG_RUN,
            losses = kinds.map { KindLoss(time(random, 7.seconds), it, noticedWithin) },
            hasEnginesPerKind = true,
            longestFirstEvent = 4.seconds,
            resendsSuspects = false,
        )
    }

    private fun time(random: Random, span: Duration): Duration = 1.seconds + span * random.nextDouble()

    private companion object {
        val LONG_RUN = 20.seconds
        val SLOW_NOTICE = 1_500.milliseconds
    }
}
