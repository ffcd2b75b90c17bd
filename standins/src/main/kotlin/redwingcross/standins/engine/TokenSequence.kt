package redwingcross.standins.engine

import java.security.MessageDigest

private val vocabulary =
    listOf("roof", "snow", "crew", "filter", "duct", "site", "north", "valve", "shift", "note", "warm", "check")

/**
 * The tokens of the response to a prompt. Each token is determined by the model, the prompt and its offset, so that a
 * stream that is resumed at another engine continues identically.
 */
internal class TokenSequence(private val model: String, private val prompt: String, val length: Int) {
    fun token(offset: Int): String {
        val digest = MessageDigest.getInstance("SHA-256").digest("$model\u0000$prompt\u0000$offset".toByteArray())
        val word = vocabulary[Math.floorMod(digest[0].toInt(), vocabulary.size)]
        return "$word${digest[1].toUByte()} "
    }
}
