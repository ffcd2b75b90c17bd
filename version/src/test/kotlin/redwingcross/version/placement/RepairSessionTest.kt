package redwingcross.version.placement

import redwingcross.request.Vm
import redwingcross.version.compareWithGolden
import redwingcross.version.simulation.SimulatedZone
import kotlin.test.Test
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against unintended changes in how a group is formed, suspended, repaired by a spare and drained. */
class RepairSessionTest {
    @Test
    fun `a group that loses a member is repaired by a spare and keeps its other members`() {
        val zone = SimulatedZone(controllers = 1)
        zone.time.advance(20.seconds, zone::check)
        zone.log += "-- a member of a group is lost"
        zone.engines.getValue(Vm("d1-2")).run {
            crash()
            silentUntil = zone.time.now + 5.minutes
        }
        zone.time.advance(30.seconds, zone::check)
        zone.log += "-- the platform announces that a member leaves"
        zone.changeLeaving(setOf(Vm("d1-3")))
        zone.time.advance(30.seconds, zone::check)
        compareWithGolden("repair-session.txt", zone.log.joinToString("\n", postfix = "\n"))
    }
}
