package redwingcross.connection.caller

import redwingcross.request.Checked
import redwingcross.request.Finding
import java.net.URLDecoder

internal const val SERVICES_PREFIX = "/services/"

/** The parts of a path below `/services/`. */
internal class ServicePath(
    /** First segment: the name of the service, decoded. */
    val service: String,
    /** The path below the service as the caller sent it, to be forwarded. */
    val raw: String,
    /** [raw] with percent encoding decoded, used to decide whether the call is non-idempotent. */
    val decoded: String,
)

/**
 * Parses a path below `/services/`. Paths that a service might normalise to another path are refused, because a
 * non-idempotent call could otherwise be sent without being recognised as one.
 */
internal fun parseServicePath(path: String): Checked<ServicePath> {
    val parts = path.removePrefix(SERVICES_PREFIX).split('/')
    val decoded = parts.map { it.decodeSegment() }
    val isUnambiguous = decoded.withIndex().all { (index, segment) ->
        val isEmptyAllowed = index == parts.lastIndex && index > 0
        segment != null &&
            (segment.isNotEmpty() || isEmptyAllowed) &&
            segment !in dotSegments &&
            segment.none(::isForbidden)
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

private fun isForbidden(character: Char): Boolean =
    character == '/' || character == '\\' || character == ';' || character.isISOControl() || character == '\uFFFD'

/** Null if the percent encoding is malformed. A plus sign is literal in a path. */
private fun String.decodeSegment(): String? =
    runCatching { URLDecoder.decode(replace("+", "%2B"), Charsets.UTF_8) }.getOrNull()
