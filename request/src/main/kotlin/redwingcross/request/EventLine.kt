package redwingcross.request

/**
 * Formats a log event as a single line: `event=<event>` followed by [pairs] as `key=value`, separated by spaces.
 *
 * Empty values and values with whitespace, quotes, equals signs or control characters are quoted and escaped, so that
 * the line can be parsed back into its pairs.
 */
fun eventLine(event: String, vararg pairs: Pair<String, Any?>): String = eventLine(event, pairs.asList())

/** Overload of [eventLine] for pairs that are built as a list. */
fun eventLine(event: String, pairs: List<Pair<String, Any?>>): String =
    (listOf<Pair<String, Any?>>("event" to event) + pairs).joinToString(" ") { (key, value) -> "$key=${quoted(value)}" }

private fun quoted(value: Any?): String {
    val text = value.toString()
    val plain = text.isNotEmpty() && text.none { it.isWhitespace() || it == '"' || it == '=' || it.isISOControl() }
    return if (plain) text else text.asSequence().joinToString("", "\"", "\"", transform = ::escaped)
}

private fun escaped(character: Char): String = when {
    character == '"' -> "\\\""
    character == '\\' -> "\\\\"
    character == '\n' -> "\\n"
    // Readers of a log may end a line at a separator beyond ASCII.
    character.isISOControl() || character.isWhitespace() && character != ' ' -> "\\u%04x".format(character.code)
    else -> character.toString()
}
