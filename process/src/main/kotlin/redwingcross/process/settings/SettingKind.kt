package redwingcross.process.settings

import redwingcross.version.bundle.isEndpoint
import kotlin.time.Duration

/** How the text of a setting becomes a value; [parse] returns null for text that is not allowed. */
class SettingKind<T : Any>(val description: String, val parse: (String) -> T?) {
    companion object {
        /** Text that is not blank. */
        val text: SettingKind<String> = SettingKind("text") { it.takeIf(String::isNotBlank) }

        /** An IP address and port; port 0 lets the system choose. */
        val endpoint: SettingKind<String> = SettingKind("an IP address and port such as 10.0.0.1:8080") { text ->
            text.takeIf { isEndpoint(it) || (it.endsWith(":0") && isEndpoint(it.dropLast(1) + "1")) }
        }

        /** Several endpoints with commas between them. */
        val endpoints: SettingKind<List<String>> =
            SettingKind("IP addresses and ports with commas between them") { text ->
                text.split(',').map(String::trim).takeIf { it.all(::isEndpoint) }
            }

        /** HTTP base URLs with commas between them. */
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
