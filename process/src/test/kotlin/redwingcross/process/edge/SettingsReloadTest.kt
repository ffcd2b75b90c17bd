package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.request.Checked
import redwingcross.request.Finding
import redwingcross.request.ProcessName
import redwingcross.request.forward.RetryBudgetLimits
import redwingcross.version.bundle.Endpoint
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against changes of the settings file that are missed, and against invalid files that replace the settings. */
class SettingsReloadTest {
    private val bounds = EdgeBounds(
        drain = 2.seconds,
        stopGrace = 8.seconds,
        retryBudget = RetryBudgetLimits(0.2, 100.0, 10.seconds),
        coldOverrun = 1.5,
        coldSlack = 5.0,
        maximumListLifetime = 5.seconds,
        configurationApply = 2.seconds,
    )
    private val settings = EdgeSettings(
        node = ProcessName("edge-1"),
        ip = "10.0.0.1",
        zone = AvailabilityZone("a"),
        callers = Endpoint("10.0.0.1:80"),
        readiness = Endpoint("10.0.0.1:81"),
        directory = null,
        internalPorts = 7340..7355,
        store = Endpoint("10.0.0.2:80"),
        bounds = bounds,
    )

    private var text = "grace 8"
    private val events = mutableListOf<String>()
    private val changes = mutableListOf<EdgeSettings>()
    private val reload = SettingsReload({ read() }, ::decode, text, settings, { event, _ -> events += event }) {
        changes += it
    }

    private fun read(): String = if (text == "missing") throw IOException("no such file") else text

    private fun decode(text: String): Checked<EdgeSettings> {
        val grace = text.substringAfter(' ').toIntOrNull()
            ?: return Checked.Invalid(listOf(Finding("grace", "must be a number")))
        return Checked.Valid(settings.copy(bounds = bounds.copy(stopGrace = grace.seconds)))
    }

    @Test
    fun `a bound that changes without a signal is applied`() {
        text = "grace 20"
        reload.check(signalled = false)
        assertEquals(listOf(20.seconds), changes.map { it.bounds.stopGrace })
        assertEquals(listOf("reload"), events)
    }

    @Test
    fun `a file that is missing or invalid leaves the settings unchanged`() {
        text = "grace x"
        reload.check(signalled = true)
        text = "missing"
        reload.check(signalled = true)
        assertEquals(listOf("reload_failed", "reload_failed"), events)
        assertEquals(emptyList(), changes)
        text = "grace 9"
        reload.check(signalled = false)
        assertEquals(listOf(9.seconds), changes.map { it.bounds.stopGrace })
    }

    @Test
    fun `an unchanged file is logged after a signal and not after a periodic check`() {
        reload.check(signalled = false)
        reload.check(signalled = true)
        assertEquals(listOf("reload"), events)
        assertEquals(emptyList(), changes)
    }
}
