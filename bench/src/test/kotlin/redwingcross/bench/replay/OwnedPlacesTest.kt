package redwingcross.bench.replay

import redwingcross.process.edge.PlaceResult
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against groups that are overrun in turn while others have free slots: under a load that oscillates by 55% in
 * 15 s, with two groups lost at 15 s, each gateway alone places a tenth and more of the requests where they don't begin
 * in time. Replays the tasks of the product in virtual time.
 */
class OwnedPlacesTest {
    private fun load(gateways: Int, groups: Int, slots: Int, utilization: Double = 0.75) = ReplayedLoad(
        gateways,
        groups,
        utilization,
        seconds = 30.0,
        slots,
        oscillation = 0.55,
        lostGroups = 2,
        groupLimit = 1.0,
        wait = PlacementReplay.IN_TIME,
        resends = 1,
    )

    private fun owned(load: ReplayedLoad, fault: OwnerFault? = null, seed: Int = 1): Pair<ReplayResult, OwnedPlaces> {
        lateinit var places: OwnedPlaces
        val replay = PlacementReplay(load, seed) { OwnedPlaces(it, fault).also { owned -> places = owned }.way }
        return replay.run() to places
    }

    private fun alone(load: ReplayedLoad) = PlacementReplay(load, 1, PlacementReplay.placement(load)).run()

    @Test
    fun `nearly as many requests begin in time as with one dispatcher`() {
        for (load in listOf(load(8, 4, 14), load(75, 36, 14), load(109, 11, 34))) {
            val single = load.copy(gateways = 1, reportDelay = 0.0)
            val dispatcher = SEEDS.map { PlacementReplay(single, it, PlacementReplay.leastLoaded(single)).run() }
            val owned = SEEDS.map { owned(load, seed = it).first }
            val alone = SEEDS.map { PlacementReplay(load, it, PlacementReplay.placement(load)).run() }
            assertTrue(owned.inTime() > dispatcher.inTime() - 0.03, "$owned, one dispatcher $dispatcher")
            assertTrue(owned.map { it.avoidableShare }.average() < 0.01, "$owned")
            assertTrue(alone.inTime() < dispatcher.inTime() - 0.15, "this load is harmless without an owner: $alone")
        }
    }

    private fun List<ReplayResult>.inTime() = map { it.inTimeShare }.average()

    @Test
    fun `the messages of a gateway stay within the bandwidth for control`() {
        val load = load(75, 36, 14)
        val (_, places) = owned(load)
        val bytesPerSecond = places.bytes / load.seconds / load.gateways
        assertTrue(bytesPerSecond < 1500, "$bytesPerSecond bytes a second sent by a node in the mean")
    }

    @Test
    fun `with a faulty owner at the peak more requests begin in time than without an owner`() {
        for (load in listOf(load(75, 36, 14), load(109, 11, 34))) {
            val alone = alone(load)
            for (kind in OwnerFault.Kind.entries) {
                val (result, places) = owned(load, OwnerFault(kind, 17.0, 20.0))
                assertTrue(result.inTimeShare > alone.inTimeShare, "$kind: $result, without an owner $alone")
                assertTrue(PlaceResult.GRANTED in places.results, "$kind: ${places.results}")
                if (kind != OwnerFault.Kind.TWO_OWNERS) assertTrue(PlaceResult.NO_ANSWER in places.results, "$kind")
            }
        }
    }

    @Test
    fun `while no owner answers each gateway chooses as it does without one`() {
        val load = load(75, 36, 14)
        val (result, places) = owned(load, OwnerFault(OwnerFault.Kind.UNREACHABLE, 0.0, 30.0))
        val alone = alone(load)
        assertEquals(alone.inTimeShare, result.inTimeShare, 0.03, "$result, without an owner $alone")
        assertTrue(PlaceResult.OWNER_LOST in places.results, "${places.results}")
    }

    @Test
    fun `a fleet too large for one owner sends no messages`() {
        val (result, _) = owned(load(350, 75, 34).copy(seconds = 5.0))
        assertEquals(0.0, result.messagesPerNode)
    }

    private companion object {
        val SEEDS = listOf(1, 2, 3)
    }
}
