package redwingcross.standins.engine

import java.security.MessageDigest

private val words =
    listOf("roof", "snow", "crew", "filter", "duct", "site", "north", "valve", "shift", "note", "warm", "check")

/**
 * The answer to a prompt. Every token follows from the model, the prompt and its offset alone, so that a stream which
 * resumes at another engine continues in the same way.
 */
internal class TokenSequence(private val model: String, private val prompt: String, val length: Int) {
    fun token(offset: Int): String {
        val digest = MessageDigest.getInstance("SHA-256").digest("$model\u0000$prompt\u0000$offset".toByteArray())
        val word = words[Math.floorMod(digest[0].toInt(), words.size)]
        return "$word${digest[1].toUByte()} "
    }
}
