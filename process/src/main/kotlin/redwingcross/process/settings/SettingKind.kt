package redwingcross.process.settings

import redwingcross.version.bundle.isEndpoint
import kotlin.time.Duration

/**
 * Type of a setting. [parse] converts its text to a value and returns null for invalid text; [description] completes
 * the error message "must be …".
 */
class SettingKind<T : Any>(val description: String, val parse: (String) -> T?) {
    companion object {
        /** Text that is not blank. */
        val text: SettingKind<String> = SettingKind("text") { it.takeIf(String::isNotBlank) }

        /** An IP address and port; with port 0 the operating system chooses a free port. */
        val endpoint: SettingKind<String> = SettingKind("an IP address and port such as 10.0.0.1:8080") { text ->
            text.takeIf { isEndpoint(it) || (it.endsWith(":0") && isEndpoint(it.dropLast(1) + "1")) }
        }

        /** A comma-separated list of endpoints. */
        val endpoints: SettingKind<List<String>> =
            SettingKind("IP addresses and ports with commas between them") { text ->
                text.split(',').map(String::trim).takeIf { it.all(::isEndpoint) }
            }

        /** A comma-separated list of HTTP base URLs. */
        val urls: SettingKind<List<String>> =
            SettingKind("HTTP base URLs with commas between them, such as http://10.0.0.1:7000") { text ->
                text.split(',').map { it.trim().trimEnd('/') }.takeIf { it.all(::isBaseUrl) }
            }

        /** A positive duration with its unit. */
        val duration: SettingKind<Duration> = SettingKind("a positive duration with a unit, such as 500ms") { text ->
            Duration.parseOrNull(text)?.takeIf { it.isPositive() && it.isFinite() }
        }

        /** A size in bytes with an optional unit of KiB, MiB or GiB. */
        val bytes: SettingKind<Long> = SettingKind("a size such as 64KiB or 32MiB", ::parseBytes)

        /** A whole number within [range]. */
        fun int(range: IntRange): SettingKind<Int> =
            SettingKind("a whole number from ${range.first} to ${range.last}") { text ->
                text.toIntOrNull()?.takeIf { it in range }
            }
    }
}

private val unitFactors = mapOf("" to 1L, "KiB" to (1L shl 10), "MiB" to (1L shl 20), "GiB" to (1L shl 30))

private fun parseBytes(text: String): Long? {
    val digits = text.takeWhile(Char::isDigit)
    val factor = unitFactors[text.drop(digits.length).trim()] ?: return null
    val number = digits.toLongOrNull() ?: return null
    return number.takeIf { it > 0 && it <= Long.MAX_VALUE / factor }?.times(factor)
}

private fun isBaseUrl(text: String): Boolean {
    val address = text.removePrefix("http://")
    return address != text && isEndpoint(address)
}
