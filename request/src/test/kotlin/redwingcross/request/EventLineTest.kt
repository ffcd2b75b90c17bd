package redwingcross.request

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a value of an event that takes more than its place in the line. */
class EventLineTest {
    @Test
    fun `a value with any line separator stays in one line`() {
        val value = "a\nb\r\u0085c\u2028d\u2029e f\"g"
        val line = eventLine("entry_ignored", "name" to value, "next" to 1)
        val escaped = """a\nb\u000d\u0085c\u2028d\u2029e f\"g"""
        assertEquals("event=entry_ignored name=\"$escaped\" next=1", line)
    }
}
