package redwingcross.request.stream

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class EventSplitterTest {
    private fun event(id: Int) = "id: $id\ndata: piece $id\n\n"

    @Test
    fun `an event that breaks off in the middle is not passed on`() {
        val splitter = EventSplitter()
        val batch = splitter.accept((event(1) + "id: 2\ndata: pie").toByteArray())
        assertEquals(event(1), batch?.bytes?.decodeToString())
        assertEquals(1, batch?.lastId)
        splitter.reset()
        assertEquals(event(2), splitter.accept(event(2).toByteArray())?.bytes?.decodeToString())
    }

    @Test
    fun `bytes cut at any place give the same events in order`() {
        val seed = 7
        val random = Random(seed)
        val whole = (1..40).joinToString("") { event(it) }.toByteArray()
        repeat(200) {
            val splitter = EventSplitter()
            val passed = StringBuilder()
            var last = 0L
            var start = 0
            while (start < whole.size) {
                val end = minOf(whole.size, start + 1 + random.nextInt(60))
                splitter.accept(whole.copyOfRange(start, end))?.let { batch ->
                    passed.append(batch.bytes.decodeToString())
                    assertEquals(last + 1, batch.firstId, "seed $seed")
                    last = batch.lastId ?: last
                }
                start = end
            }
            assertEquals(whole.decodeToString(), passed.toString(), "seed $seed")
            assertEquals(0, splitter.pendingBytes)
        }
    }

    @Test
    fun `lines that end with carriage return and newline are understood`() {
        val splitter = EventSplitter()
        assertNull(splitter.accept("id: 5\r\ndata: x\r\n".toByteArray()))
        assertEquals(5, splitter.accept("\r\n".toByteArray())?.lastId)
    }
}
