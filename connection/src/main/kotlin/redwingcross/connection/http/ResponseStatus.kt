package redwingcross.connection.http

/** The status codes of HTTP. A response with another one doesn't come from a server that works. */
internal val httpStatuses: IntRange = 100..599

private val THREE_DIGITS = Regex("[0-9]{3}")

/** Whether [text] of a status line is the code of a status: three digits from 100 to 599. */
internal fun isStatus(text: String): Boolean = THREE_DIGITS.matches(text) && text.toInt() in httpStatuses
