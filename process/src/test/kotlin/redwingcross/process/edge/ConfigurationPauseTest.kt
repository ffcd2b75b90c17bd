package redwingcross.process.edge

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against pauses after which a configuration comes too late at a process whose watch is silently dead. */
class ConfigurationPauseTest {
    @Test
    fun `a change is in force in time although the watch of a process has died silently`() {
        for (applyWithin in 2..30) {
            val pause = configurationPause(applyWithin.seconds)
            val received = pause
            val reported = received + 500.milliseconds
            val restarted = reported + pause + 300.milliseconds
            assertTrue(restarted + 200.milliseconds <= applyWithin.seconds, "$applyWithin s: $restarted")
        }
    }

    @Test
    fun `a large fleet with a longer bound reads fewer of the configurations that come in quick succession`() {
        assertEquals(200.milliseconds, configurationPause(2.seconds))
        assertTrue(configurationPause(4.seconds) >= 600.milliseconds)
    }
}
