package redwingcross.version.placement

import redwingcross.request.Vm
import redwingcross.version.simulation.SimulatedZone
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against unnoticed changes in how a group is formed, suspended, repaired by a spare and drained. */
class RepairSessionTest {
    private val golden = File("src/test/resources/golden/repair-session.txt")

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
        compare(zone.log.joinToString("\n", postfix = "\n"))
    }

    private fun compare(session: String) {
        if (System.getProperty("redwingcross.updateGolden") == "true") {
            golden.parentFile.mkdirs()
            golden.writeText(session)
        }
        val expected = golden.readText().lines()
        val found = session.lines()
        val first = expected.zip(found).indexOfFirst { (wanted, line) -> wanted != line }
        val at = if (first < 0) minOf(expected.size, found.size) else first
        assertEquals(
            expected.drop(at).take(5).joinToString("\n"),
            found.drop(at).take(5).joinToString("\n"),
            "the session differs from $golden from line ${at + 1} on",
        )
    }
}
