package redwingcross.process.edge

import redwingcross.request.Checked
import java.io.IOException

/**
 * Applies changes of the settings file while the process runs. Changed bounds apply at once; changed addresses, names
 * and ports apply at the next start. An invalid or unreadable file is logged and leaves the settings unchanged.
 */
class SettingsReload(
    private val readText: () -> String,
    private val decode: (String) -> Checked<EdgeSettings>,
    initialText: String,
    private var settings: EdgeSettings,
    private val log: LogEvent,
    private val onChanged: (EdgeSettings) -> Unit,
) {
    private var text = initialText

    /** Reads the file again; [signalled] is true if the platform signalled a change, false on a periodic check. */
    fun check(signalled: Boolean) {
        val next = try {
            readText()
        } catch (error: IOException) {
            log("reload_failed", arrayOf("detail" to error.message))
            return
        }
        if (next == text) {
            if (signalled) log("reload", arrayOf("settings" to "unchanged"))
            return
        }
        text = next
        when (val decoded = decode(next)) {
            is Checked.Invalid -> log("reload_failed", arrayOf("findings" to decoded.findings.joinToString("; ")))
            is Checked.Valid -> apply(decoded.value, signalled)
        }
    }

    private fun apply(next: EdgeSettings, signalled: Boolean) {
        val onlyBounds = next == settings.copy(bounds = next.bounds)
        log(
            "reload",
            arrayOf(
                "signalled" to signalled,
                "bounds" to if (next.bounds == settings.bounds) "unchanged" else next.bounds,
                "at_next_start" to !onlyBounds,
            ),
        )
        settings = next
        onChanged(next)
    }
}
