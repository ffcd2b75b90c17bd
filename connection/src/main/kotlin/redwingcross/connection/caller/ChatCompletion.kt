package redwingcross.connection.caller

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import redwingcross.request.Checked
import redwingcross.request.Finding
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.model.AnswerToken

/** A caller's chat completion request. Fields that are not interpreted here are forwarded to the engine unchanged. */
internal class ChatCompletion(private val fields: JsonObject, val model: String, val isStream: Boolean) {
    /** The request body for an engine: the model has its canonical name, and the response is always streamed. */
    fun toEngineBody(model: ServiceName): ByteArray =
        JsonObject(fields + mapOf("model" to JsonPrimitive(model.value), "stream" to JsonPrimitive(true)))
            .toString().encodeToByteArray()

    companion object {
        /** Parses and validates a request body; reports all faults, each with its path. */
        fun parse(body: String): Checked<ChatCompletion> {
            val fields = try {
                if (isTooDeep(body)) null else Json.parseToJsonElement(body) as? JsonObject
            } catch (_: SerializationException) {
                null
            }
                ?: return Checked.Invalid(
                    listOf(Finding("body", "must be a JSON object, nested at most $MAX_DEPTH levels deep")),
                )
            val findings = mutableListOf<Finding>()
            val model = (fields["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content.orEmpty()
            if (model.isEmpty()) findings += Finding("body.model", "must be a string that names a model")
            val stream = fields["stream"]
            val isStream = stream?.asBoolean() ?: false
            if (stream != null &&
                stream.asBoolean() == null
            ) {
                findings += Finding("body.stream", "must be true or false")
            }
            findings += messageFindings(fields["messages"])
            return if (findings.isEmpty()) {
                Checked.Valid(ChatCompletion(fields, model, isStream))
            } else {
                Checked.Invalid(findings)
            }
        }

        /** Serialization of a document is recursive, so deep nesting would overflow the stack. */
        private fun isTooDeep(body: String): Boolean {
            var depth = 0
            var isInString = false
            var isEscaped = false
            for (character in body) {
                when {
                    isEscaped -> isEscaped = false
                    isInString && character == '\\' -> isEscaped = true
                    character == '"' -> isInString = !isInString
                    !isInString && (character == '{' || character == '[') -> if (++depth > MAX_DEPTH) return true
                    !isInString && (character == '}' || character == ']') -> depth -= 1
                }
            }
            return false
        }

        private const val MAX_DEPTH = 64

        private fun JsonElement.asBoolean(): Boolean? = (this as? JsonPrimitive)?.takeUnless {
            it.isString
        }?.booleanOrNull

        private fun messageFindings(messages: JsonElement?): List<Finding> = when {
            messages !is JsonArray || messages.isEmpty() ->
                listOf(Finding("body.messages", "must be a list with at least one message"))
            else -> messages.mapIndexedNotNull { index, message ->
                val role = ((message as? JsonObject)?.get("role") as? JsonPrimitive)?.takeIf { it.isString }
                if (role == null) Finding("body.messages[$index].role", "must be a string") else null
            }
        }
    }
}

/** Encodes the token as a server-sent event of a streamed response. */
internal fun AnswerToken.toEvent(request: RequestId, model: ServiceName): ByteArray {
    val chunk = buildJsonObject {
        put("id", request.value)
        put("object", "chat.completion.chunk")
        put("model", model.value)
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putJsonObject("delta") { put("content", text) }
            }
        }
    }
    return "id: $offset\ndata: $chunk\n\n".encodeToByteArray()
}

/** The response body of a request that is not streamed, with the complete [text]. */
internal fun completionDocument(request: RequestId, model: ServiceName, text: String): String = buildJsonObject {
    put("id", request.value)
    put("object", "chat.completion")
    put("model", model.value)
    putJsonArray("choices") {
        addJsonObject {
            put("index", 0)
            putJsonObject("message") {
                put("role", "assistant")
                put("content", text)
            }
            put("finish_reason", "stop")
        }
    }
}.toString()

internal val endMarker: ByteArray = "data: [DONE]\n\n".encodeToByteArray()
internal val keepAliveComment: ByteArray = ": keep-alive\n\n".encodeToByteArray()
