package redwingcross.connection.caller

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val LIMIT = 20_000
private const val SHARED_BLOCKS = 6
private const val MAILBOXES = 3

/**
 * Guards against output that exceeds the memory budget, is lost or is reordered, against blocks that are never
 * released, and against slow callers that block the output of fast ones.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class ByteMailboxProperties {
    @Property(seed = "20261204", tries = 500)
    fun `mailboxes stay within the shared budget and a mailbox that is read makes progress`(
        @ForAll("steps") steps: List<Int>,
        @ForAll("sizes") sizes: List<Int>,
    ) = runTest {
        val total = (SHARED_BLOCKS + MAILBOXES) * ByteBudget.BLOCK_BYTES.toLong()
        val budget = ByteBudget(total, MAILBOXES)
        val callers = List(MAILBOXES) { Caller(checkNotNull(budget.openMailbox(LIMIT))) }
        assertNull(budget.openMailbox(LIMIT))
        val sent = sizes.mapIndexed { index, size -> ByteArray(size) { (index + it).toByte() } }
        val producers = callers.map { caller ->
            launch {
                sent.all { caller.mailbox.put(it) }
                caller.mailbox.closeProducer()
            }
        }
        val allBytes = sent.fold(ByteArray(0), ByteArray::plus)
        for (step in steps) {
            runCurrent()
            val caller = callers[step % MAILBOXES]
            val waiting = callers.map { if (it.isClosed) 0 else it.mailbox.queuedBytes }
            assertTrue(waiting.all { it <= LIMIT } && waiting.sum() <= total, "$waiting bytes are queued")
            // The other mailboxes may hold all shared blocks; the reserved block still lets this one make progress.
            assertTrue(caller.isClosed || waiting[step % MAILBOXES] > 0 || producers[step % MAILBOXES].isCompleted)
            if (step < MAILBOXES) caller.close() else caller.take()
            assertEquals(allBytes.take(caller.received.size), caller.received, "bytes were lost or reordered")
        }
        callers.forEach { it.takeAll() }
        runCurrent()
        callers.filterNot { it.isClosed }.forEach { assertEquals(allBytes.asList(), it.received) }
        callers.forEach { it.close() }
        runCurrent()
        assertTrue(producers.all { it.isCompleted }, "a producer waits for a caller that disconnected")
        assertEquals(SHARED_BLOCKS, generateSequence { budget.tryAcquireBlock() }.takeWhile { it }.count())
        repeat(MAILBOXES) { checkNotNull(budget.openMailbox(LIMIT)) { "a mailbox was not released" } }
    }

    @Provide
    fun steps(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 99).list().ofMaxSize(60)

    @Provide
    fun sizes(): Arbitrary<List<Int>> = Arbitraries.integers().between(1, 9000).list().ofMinSize(1).ofMaxSize(20)

    private class Caller(val mailbox: ByteMailbox) {
        val received = mutableListOf<Byte>()
        var isClosed = false

        suspend fun take() {
            if (!isClosed && mailbox.queuedBytes > 0) received += checkNotNull(mailbox.take()).asList()
        }

        suspend fun takeAll() {
            if (isClosed) return
            while (true) received += (mailbox.take() ?: return).asList()
        }

        fun close() {
            isClosed = true
            mailbox.closeConsumer()
        }
    }
}
