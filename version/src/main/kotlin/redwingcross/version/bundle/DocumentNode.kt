package redwingcross.version.bundle

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import redwingcross.request.Finding
import kotlin.time.Duration

/** Collects the findings of one document, so that they can be reported together. */
internal class FindingCollector {
    private val collected = mutableListOf<Finding>()

    val findings: List<Finding> get() = collected.toList()

    fun report(place: String, message: String) {
        collected += Finding(place, message)
    }
}

/**
 * A node of a parsed document with its path and line. If a field is missing or malformed, the accessors report a
 * finding and return a default value, so that the remaining fields are still read and checked.
 */
internal class DocumentNode(
    private val node: YamlNode?,
    private val path: String,
    private val line: Int,
    private val collector: FindingCollector,
) {
    private val readFields = mutableSetOf<String>()

    /** Path and line in the format used in findings. */
    val place: String get() = "$path (line $line)"

    fun report(message: String) = collector.report(place, message)

    fun has(field: String): Boolean = child(field) != null

    fun field(field: String): DocumentNode {
        readFields += field
        val value = child(field)
        val name = if (path.isEmpty()) field else "$path.$field"
        return DocumentNode(value, name, value?.location?.line ?: line, collector)
    }

    /** Elements of the list [field]; empty if the field is missing. */
    fun items(field: String, required: Boolean = false): List<DocumentNode> {
        val owner = field(field)
        return when (val value = owner.node) {
            null, is YamlNull -> emptyList<DocumentNode>().also { if (required) owner.report("is required") }
            is YamlList -> value.items.mapIndexed { index, item ->
                DocumentNode(item, "${owner.path}[$index]", item.location.line, collector)
            }
            else -> emptyList<DocumentNode>().also { owner.report("must be a list") }
        }
    }

    /** Entries of the map [field]; empty if the field is missing. */
    fun entries(field: String): Map<String, DocumentNode> {
        val owner = field(field)
        return when (val value = owner.node) {
            null, is YamlNull -> emptyMap()
            is YamlMap -> value.entries.entries.associate { (key, item) ->
                key.content to DocumentNode(item, "${owner.path}.${key.content}", key.location.line, collector)
            }
            else -> emptyMap<String, DocumentNode>().also { owner.report("must be a map") }
        }
    }

    /** Text of the required [field]; an empty string if it is missing or blank. */
    fun text(field: String): String = optionalText(field) ?: "".also { field(field).report("is required") }

    /** Text of [field], or null if it is missing or blank. */
    fun optionalText(field: String): String? = field(field).scalar()?.takeIf { it.isNotBlank() }

    fun scalar(): String? = when (node) {
        null, is YamlNull -> null
        is YamlScalar -> node.content
        else -> null.also { report("must be a single value") }
    }

    /** Integer [field] within [range]; [default] if it is missing. Without a default the field is required. */
    fun int(field: String, range: IntRange, default: Int? = null): Int {
        val owner = field(field)
        val text = owner.scalar() ?: return default ?: range.first.also { owner.report("is required") }
        return owner.parseInt(text, range)
    }

    fun intValue(range: IntRange): Int = parseInt(scalar().orEmpty(), range)

    fun boolean(field: String, default: Boolean): Boolean {
        val owner = field(field)
        val text = owner.scalar() ?: return default
        return text.toBooleanStrictOrNull() ?: default.also { owner.report("must be true or false, not \"$text\"") }
    }

    fun duration(field: String, default: Duration): Duration {
        val owner = field(field)
        val text = owner.scalar() ?: return default
        val parsed = Duration.parseOrNull(text)
        return parsed?.takeIf { it.isPositive() && it.isFinite() }
            ?: default.also { owner.report("must be a positive duration such as 5s or 200ms, not \"$text\"") }
    }

    /** Reports all fields that no accessor has read; must be called after the node was read. */
    fun reportUnknownFields() {
        val map = node as? YamlMap ?: return report("must be a map")
        map.entries.keys.filter { it.content !in readFields }.forEach { key ->
            val name = if (path.isEmpty()) key.content else "$path.${key.content}"
            collector.report("$name (line ${key.location.line})", "is not a known field")
        }
    }

    private fun child(field: String): YamlNode? =
        (node as? YamlMap)?.entries?.entries?.firstOrNull { it.key.content == field }?.value

    private fun parseInt(text: String, range: IntRange): Int {
        val number = text.toIntOrNull()
        if (number == null || number !in range) {
            report("must be a whole number from ${range.first} to ${range.last}, not \"$text\"")
            return range.first
        }
        return number
    }
}
