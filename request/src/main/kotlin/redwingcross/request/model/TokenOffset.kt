package redwingcross.request.model

/** Position of a token in an answer; the first token has offset 0. */
@JvmInline
value class TokenOffset(val value: Long) : Comparable<TokenOffset> {
    override fun compareTo(other: TokenOffset): Int = value.compareTo(other.value)

    /** The offset of the token after this one. */
    fun next(): TokenOffset = TokenOffset(value + 1)

    override fun toString(): String = value.toString()

    companion object {
        val START = TokenOffset(0)
    }
}

/** One token of an answer. */
data class AnswerToken(val offset: TokenOffset, val text: String)
