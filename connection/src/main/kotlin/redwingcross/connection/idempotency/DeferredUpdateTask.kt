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
 * Completes the record updates that ended attempts could not complete, one record at a time, with retries until the
 * platform answers.
 *
 * The queue holds at most [MAX_QUEUED] updates; the oldest is dropped when it is full. After a drop, retries with the
 * key of that record get "outcome unknown" until the record expires, but the call never runs a second time.
 */
internal class DeferredUpdateTask(
    scope: CoroutineScope,
    private val store: RecordStore,
    private val clock: MonotonicClock,
) {
    private val log = KotlinLogging.logger {}
    private val mailbox = Channel<QueuedUpdate>(MAILBOX_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val waiting = ArrayDeque<QueuedUpdate>()

    init {
        scope.launch { while (true) step() }
    }

    /**
     * Queues an update. The first try is delayed by [RECHECK], so that a newer attempt with the same key,
     * which may already have been granted the record, can take it over first.
     */
    fun add(name: RecordName, update: DeferredUpdate) {
        mailbox.trySend(QueuedUpdate(name, update, clock.now() + RECHECK))
    }

    private suspend fun step() {
        val next = waiting.minByOrNull { it.due }
        val received = when {
            next == null -> mailbox.receive()
            next.due <= clock.now() -> mailbox.tryReceive().getOrNull()
            else -> receiveUntil(next.due)
        }
        when {
            received != null -> enqueue(received)

            next != null && next.due <= clock.now() -> {
                waiting.remove(next)
                complete(next)?.let(waiting::add)
            }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun receiveUntil(due: Duration): QueuedUpdate? = select {
        mailbox.onReceive { it }
        onTimeout(due - clock.now()) { null }
    }

    private fun enqueue(item: QueuedUpdate) {
        waiting += item
        if (waiting.size <= MAX_QUEUED) return
        val dropped = waiting.removeFirst()
        log.warn {
            eventLine("leftover_dropped", "record" to dropped.name.value, "attempt" to dropped.update.attempt)
        }
    }

    /** Returns the item to retry, or null if it is completed. */
    private suspend fun complete(item: QueuedUpdate): QueuedUpdate? = when (val update = item.update) {
        is DeferredUpdate.Store -> when (store.write(item.name, update.record, update.expected)) {
            is CallEvent.Written, CallEvent.Conflict -> completed(item)
            else -> item.afterFailure()
        }

        is DeferredUpdate.Remove -> when (val read = store.read(item.name)) {
            is CallEvent.Read -> remove(item, read.found)
            else -> item.afterFailure()
        }
    }

    /** A delayed write can still store the record after a read found none, so its absence is checked several times. */
    private suspend fun remove(item: QueuedUpdate, found: StoredRecord?): QueuedUpdate? {
        val isOfThisAttempt =
            found?.record?.let { it.attempt == item.update.attempt && it.state == RecordState.STARTED } ?: false
        return when {
            found == null -> item.afterAbsence()

            !isOfThisAttempt -> completed(item)

            else -> when (store.delete(item.name, found.version)) {
                is CallEvent.Written, CallEvent.Conflict -> item.afterAbsence()
                else -> item.afterFailure()
            }
        }
    }

    private fun QueuedUpdate.afterAbsence() =
        if (checks + 1 < ABSENCE_CHECKS) copy(checks = checks + 1, due = clock.now() + RECHECK) else completed(this)

    private fun QueuedUpdate.afterFailure() = copy(
        due = clock.now() + (FIRST_BACKOFF * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))),
        failures = failures + 1,
    )

    private fun completed(item: QueuedUpdate): QueuedUpdate? {
        log.info { eventLine("leftover_completed", "record" to item.name.value, "attempt" to item.update.attempt) }
        return null
    }

    private data class QueuedUpdate(
        val name: RecordName,
        val update: DeferredUpdate,
        val due: Duration,
        val checks: Int = 0,
        val failures: Int = 0,
    )

    private companion object {
        const val MAILBOX_CAPACITY = 64

        /** A record contains a body of up to 64 KiB, so 256 updates take at most 16 MiB. */
        const val MAX_QUEUED = 256
        const val ABSENCE_CHECKS = 3
        const val MAX_DOUBLINGS = 5

        /** Delay of the first try, and between two checks that a record is absent. */
        val RECHECK = 5.seconds
        val FIRST_BACKOFF = 1.seconds
    }
}
