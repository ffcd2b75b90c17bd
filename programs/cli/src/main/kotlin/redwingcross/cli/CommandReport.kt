package redwingcross.cli

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/** Exit codes of the operator command. The names are printed in JSON reports. */
enum class ExitCode(val code: Int) {
    DONE(0),
    FAILED(1),
    BAD_INPUT(2),
    CONFLICT(3),

    /** A change may have taken effect, or is not yet confirmed by every gateway. */
    OUTCOME_UNKNOWN(4),
}

/** Result of a command: [lines] for text output, [json] as the data of JSON output. */
class CommandReport(val exit: ExitCode, val lines: List<String>, val json: JsonElement = JsonNull) {
    /** The report as one JSON document, which contains the name of the exit code. */
    fun toJson(): JsonElement = buildJsonObject {
        put("result", JsonPrimitive(exit.name.lowercase().replace('_', '-')))
        put("messages", JsonArray(lines.map(::JsonPrimitive)))
        put("data", json)
    }

    companion object {
        fun done(vararg lines: String, json: JsonElement = JsonNull): CommandReport =
            CommandReport(ExitCode.DONE, lines.toList(), json)

        fun failed(line: String): CommandReport = CommandReport(ExitCode.FAILED, listOf(line))

        fun badInput(lines: List<String>): CommandReport = CommandReport(ExitCode.BAD_INPUT, lines)

        fun conflict(line: String): CommandReport = CommandReport(ExitCode.CONFLICT, listOf(line))

        fun unknown(line: String): CommandReport = CommandReport(ExitCode.OUTCOME_UNKNOWN, listOf(line))
    }
}

/** Builds a JSON object; values other than JSON elements, numbers, booleans and null become strings. */
internal fun jsonOf(vararg pairs: Pair<String, Any?>): JsonObject = buildJsonObject {
    pairs.forEach { (name, value) ->
        put(
            name,
            when (value) {
                null -> JsonNull
                is JsonElement -> value
                is Number -> JsonPrimitive(value)
                is Boolean -> JsonPrimitive(value)
                else -> JsonPrimitive(value.toString())
            },
        )
    }
}
