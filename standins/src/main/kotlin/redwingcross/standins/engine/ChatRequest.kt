package redwingcross.standins.engine

import io.undertow.util.HeaderMap
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The fields that the stand-in reads from the body of `POST /v1/chat/completions`. */
@Serializable
internal data class ChatBody(
    val model: String = "",
    val messages: List<ChatMessage> = emptyList(),
    @SerialName("max_tokens") val maxTokens: Int? = null,
) {
    val prompt: String get() = messages.joinToString("\n") { "${it.role}: ${it.content}" }
}

@Serializable
internal data class ChatMessage(val role: String = "", val content: String = "")

internal val engineJson = Json { ignoreUnknownKeys = true }

/** Parses the body; null if it is malformed. */
internal fun parseChatBody(text: String): ChatBody? = try {
    engineJson.decodeFromString(ChatBody.serializer(), text)
} catch (_: SerializationException) {
    null
}

/**
 * Reads the request headers that section 7 of the design defines. Absent names become empty and an absent generation
 * becomes -1; no group matches either.
 */
internal fun HeaderMap.toChatHeaders() = ChatHeaders(
    attempt = getFirst("X-Attempt-Id").orEmpty(),
    request = getFirst("X-Request-Id").orEmpty(),
    group = getFirst("X-Group").orEmpty(),
    generation = getFirst("X-Group-Generation")?.toLongOrNull() ?: -1,
    resumeOffset = getFirst("X-Resume-Offset")?.toIntOrNull()?.coerceAtLeast(0) ?: 0,
)
