package redwingcross.process.state

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Builds one section of a state dump from an immutable snapshot, without waiting for the task that owns the state. */
typealias StateSection = () -> JsonElement

/**
 * The state of a process as a JSON object with one member for each section. The sections are at most [maximumLength]
 * characters long in total: a section that exceeds the remaining length is replaced by an object with its length.
 */
class StateDump(
    private val sections: Map<String, StateSection>,
    private val maximumLength: Int = DEFAULT_MAXIMUM_LENGTH,
) {
    /** Names of the sections, in their order in the dump. */
    val sectionNames: Set<String> get() = sections.keys

    /** Builds the dump; [only] limits it to one section and is ignored if no section has that name. */
    fun take(only: String? = null): JsonObject {
        var remaining = maximumLength
        val chosen = sections.filterKeys { only == null || it == only }.ifEmpty { sections }
        return JsonObject(
            chosen.mapValues { (_, section) ->
                val value = section()
                val length = value.toString().length
                if (length > remaining) omitted(length) else value.also { remaining -= length }
            },
        )
    }

    private fun omitted(length: Int): JsonElement = buildJsonObject {
        put("omitted", JsonPrimitive(true))
        put("length", length)
    }

    private companion object {
        const val DEFAULT_MAXIMUM_LENGTH = 1_048_576
    }
}
