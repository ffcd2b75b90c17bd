package redwingcross.connection.caller

import redwingcross.request.Checked
import redwingcross.request.Finding
import java.net.URLDecoder

internal const val SERVICES_PREFIX = "/services/"

/** The parts of a path below `/services/`. */
internal class ServicePath(
    val service: String,
    /** The path below the service as sent, for the back end. */
    val raw: String,
    /** The same path without percent encoding, for the decision whether the call is non-idempotent. */
    val decoded: String,
)

/**
 * Reads a path below `/services/`. Paths that a service might normalise to another path are refused: such a path could
 * reach a non-idempotent call without being recognised as one.
 */
internal fun parseServicePath(path: String): Checked<ServicePath> {
    val parts = path.removePrefix(SERVICES_PREFIX).split('/')
    val decoded = parts.map { it.decodeSegment() }
    val isUnambiguous = decoded.withIndex().all { (index, segment) ->
        val mayBeEmpty = index == parts.lastIndex && index > 0
        segment != null && (segment.isNotEmpty() || mayBeEmpty) && segment !in dotSegments && segment.none(::isRefused)
    }
    return if (isUnambiguous) {
        Checked.Valid(
            ServicePath(
                service = decoded.first().orEmpty(),
                raw = "/" + parts.drop(1).joinToString("/"),
                decoded = "/" + decoded.drop(1).joinToString("/"),
            ),
        )
    } else {
        Checked.Invalid(
            listOf(
                Finding(
                    "path",
                    "must not hold empty or dot segments, encoded slashes, semicolons or control characters",
                ),
            ),
        )
    }
}

private val dotSegments = setOf(".", "..")

private fun isRefused(character: Char): Boolean =
    character == '/' || character == '\\' || character == ';' || character.isISOControl() || character == '\uFFFD'

/** Null if the percent encoding is malformed. A plus sign stands for itself in a path. */
private fun String.decodeSegment(): String? =
    runCatching { URLDecoder.decode(replace("+", "%2B"), Charsets.UTF_8) }.getOrNull()
