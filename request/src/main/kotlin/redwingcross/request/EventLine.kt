package redwingcross.request

/**
 * One log line: `event=name` and the pairs as `key=value`. Values with spaces, quotes, equals signs or control
 * characters are quoted and escaped, so that every event stays one line that can be split again.
 */
fun eventLine(event: String, vararg pairs: Pair<String, Any?>): String = eventLine(event, pairs.asList())

/** The same with the pairs in a list. */
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
    character.isISOControl() -> "\\u%04x".format(character.code)
    else -> character.toString()
}
