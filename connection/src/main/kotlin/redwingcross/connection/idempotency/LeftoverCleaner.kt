package redwingcross.connection.idempotency

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import redwingcross.request.idempotency.CallEvent
import redwingcross.request.idempotency.DeferredUpdate
import redwingcross.request.idempotency.RecordName
import redwingcross.request.idempotency.RecordState
import redwingcross.request.idempotency.StoredRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The task that completes what ended attempts left in the store, one record at a time, when the platform answers.
 *
 * It holds at most [MAX_WAITING] records and drops the oldest beyond that. A dropped one leaves a key whose retries get
 * "outcome unknown" until the record is removed by age, but never a second run.
 */
internal class LeftoverCleaner(
    scope: CoroutineScope,
    private val store: RecordStore,
    private val clock: MonotonicClock,
) {
    private val log = KotlinLogging.logger {}
    private val mailbox = Channel<Waiting>(MAILBOX, BufferOverflow.DROP_OLDEST)
    private val waiting = ArrayDeque<Waiting>()

    init {
        scope.launch { while (true) step() }
    }

    /** The first try waits a little, so that an attempt that was promised the record can take it over first. */
    fun add(name: RecordName, leftover: DeferredUpdate) {
        mailbox.trySend(Waiting(name, leftover, clock.now() + RECHECK))
    }

    private suspend fun step() {
        val next = waiting.minByOrNull { it.due }
        val received = when {
            next == null -> mailbox.receive()
            next.due <= clock.now() -> mailbox.tryReceive().getOrNull()
            else -> receiveUntil(next.due)
        }
        when {
            received != null -> hold(received)

            next != null && next.due <= clock.now() -> {
                waiting.remove(next)
                complete(next)?.let(waiting::add)
            }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun receiveUntil(due: Duration): Waiting? = select {
        mailbox.onReceive { it }
        onTimeout(due - clock.now()) { null }
    }

    private fun hold(item: Waiting) {
        waiting += item
        if (waiting.size <= MAX_WAITING) return
        val dropped = waiting.removeFirst()
        log.warn {
            eventLine("leftover_dropped", "record" to dropped.name.value, "attempt" to dropped.leftover.attempt)
        }
    }

    /** The item to try again, or null if nothing is left to do. */
    private suspend fun complete(item: Waiting): Waiting? = when (val leftover = item.leftover) {
        is DeferredUpdate.Store -> when (store.write(item.name, leftover.record, leftover.expected)) {
            is CallEvent.Written, CallEvent.Conflict -> ended(item)
            else -> item.failed()
        }

        is DeferredUpdate.Remove -> when (val read = store.read(item.name)) {
            is CallEvent.Read -> remove(item, read.found)
            else -> item.failed()
        }
    }

    /** A delayed write may still put the record into the store, so its absence is checked several times. */
    private suspend fun remove(item: Waiting, found: StoredRecord?): Waiting? {
        val isOwn =
            found?.record?.let { it.attempt == item.leftover.attempt && it.state == RecordState.STARTED } ?: false
        return when {
            found == null -> item.absent()

            !isOwn -> ended(item)

            else -> when (store.delete(item.name, found.version)) {
                is CallEvent.Written, CallEvent.Conflict -> item.absent()
                else -> item.failed()
            }
        }
    }

    private fun Waiting.absent() =
        if (checks + 1 < ABSENCE_CHECKS) copy(checks = checks + 1, due = clock.now() + RECHECK) else ended(this)

    private fun Waiting.failed() = copy(
        due = clock.now() + (FIRST_BACKOFF * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))),
        failures = failures + 1,
    )

    private fun ended(item: Waiting): Waiting? {
        log.info { eventLine("leftover_completed", "record" to item.name.value, "attempt" to item.leftover.attempt) }
        return null
    }

    private data class Waiting(
        val name: RecordName,
        val leftover: DeferredUpdate,
        val due: Duration,
        val checks: Int = 0,
        val failures: Int = 0,
    )

    private companion object {
        const val MAILBOX = 64

        /** With bodies of up to 64 KiB, 256 records hold at most 16 MiB. */
        const val MAX_WAITING = 256
        const val ABSENCE_CHECKS = 3
        const val MAX_DOUBLINGS = 5
        val RECHECK = 5.seconds
        val FIRST_BACKOFF = 1.seconds
    }
}
