package redwingcross.process.settings

import com.github.ajalt.clikt.command.test
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration

/** Guards against programs that start with invalid or unknown settings, and that print secrets. */
class ProgramCommandTest {
    private class Program(environment: Map<String, String>) : ProgramCommand("program", "Test.", environment::get) {
        val name by lazy { nameSetting.value }
        private val nameSetting = setting("--name", "Name.", SettingKind.text)
        val interval: Setting<Duration> = setting("--interval", "Interval.", SettingKind.duration, default = "500ms")
        private val listen = setting("--listen", "Address.", SettingKind.endpoint, default = "127.0.0.1:0")
        private val token = setting("--token", "Token.", SettingKind.text, default = "none", secret = true)
        var started = false

        override suspend fun start() {
            started = listOf(name, interval.value, listen.value, token.value).isNotEmpty()
        }
    }

    @Test
    fun `all findings are printed with the flag or variable and nothing is started`() = runTest {
        val program = Program(mapOf("REDWINGCROSS_INTERVAL" to "soon"))

        val result = program.test("--listen localhost --unknown=1")

        assertEquals(EXIT_BAD_INPUT, result.statusCode)
        assertFalse(program.started)
        assertEquals(
            listOf(
                "--name: is required; it may also be given as REDWINGCROSS_NAME",
                "REDWINGCROSS_INTERVAL: must be a positive duration with a unit, such as 500ms, not \"soon\"",
                "--listen: must be an IP address and port such as 10.0.0.1:8080, not \"localhost\"",
                "--unknown: is not a known flag",
            ),
            result.stderr.trim().lines(),
        )
    }

    @Test
    fun `a flag takes precedence over its environment variable and secrets are not printed`() = runTest {
        val program = Program(mapOf("REDWINGCROSS_NAME" to "from-variable", "REDWINGCROSS_TOKEN" to "hidden"))

        val printed = program.test("--name from-flag --print-settings").stdout

        assertTrue("name=from-flag source=--name" in printed, printed)
        assertTrue("token=(secret) source=REDWINGCROSS_TOKEN" in printed, printed)
        assertFalse("hidden" in printed, printed)
        assertFalse(program.started)
    }
}
