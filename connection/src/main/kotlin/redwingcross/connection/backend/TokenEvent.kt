package redwingcross.connection.backend

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

@Serializable
private class TokenEvent(val choices: List<TokenChoice>)

@Serializable
private class TokenChoice(val delta: TokenDelta)

@Serializable
private class TokenDelta(val content: String)

private val engineJson = Json { ignoreUnknownKeys = true }

/** The text of an engine's token event; null if [data] is not a valid token event. */
internal fun tokenText(data: String): String? = try {
    engineJson.decodeFromString<TokenEvent>(data).choices.singleOrNull()?.delta?.content
} catch (_: SerializationException) {
    null
}
