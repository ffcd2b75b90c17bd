package redwingcross.edge

import io.github.oshai.kotlinlogging.KotlinLogging
import redwingcross.process.edge.EventLog
import redwingcross.process.edge.FleetDecision
import redwingcross.process.edge.FleetState
import redwingcross.request.MonotonicClock
import redwingcross.version.fleet.CallerLimits
import redwingcross.version.fleet.ConfigurationVersion
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.FleetUpdate
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against log lines that state a change of the view where there was none. */
class FleetUpdateLogTest {
    private val logged = mutableListOf<String>()
    private val log = FleetUpdateLog(
        EventLog(KotlinLogging.logger("test"), MonotonicClock { Duration.ZERO }, linesPerSecond = 100) { event, _ ->
            logged += event
        },
    )
    private var state = FleetState()

    private fun apply(update: FleetUpdate) {
        val before = state
        state = FleetDecision.onUpdate(state, update, 1.seconds)
        log.record(update, before, state, 1.seconds)
    }

    private fun configured(version: Long, headerBytes: Int = 16_384) = apply(
        FleetUpdate.ConfigurationChanged(
            FleetConfiguration(
                ConfigurationVersion(version),
                emptyList(),
                emptyMap(),
                CallerLimits(headerBytes, 4_194_304, 3.seconds, 15.seconds),
                emptyList(),
            ),
        ),
    )

    @Test
    fun `a configuration that is listed again is not logged as adopted again`() {
        for (version in listOf(12L, 12L, 11L, 13L)) configured(version)
        val expected = listOf("configuration_adopted", "configuration_ignored", "configuration_adopted")
        assertEquals(expected, logged)
    }

    @Test
    fun `a configuration of a lower version is logged as ignored once`() {
        for (version in listOf(12L, 11L, 11L, 10L, 11L)) configured(version)
        assertEquals(listOf("configuration_adopted", "configuration_ignored", "configuration_ignored"), logged)
    }

    @Test
    fun `a changed configuration is logged as adopted although it keeps its version`() {
        configured(12, headerBytes = 16_384)
        configured(12, headerBytes = 8_192)
        configured(12, headerBytes = 8_192)
        assertEquals(listOf("configuration_adopted", "configuration_adopted"), logged)
        assertEquals("FleetConfiguration(version=12)", state.configuration.toString())
    }
}
