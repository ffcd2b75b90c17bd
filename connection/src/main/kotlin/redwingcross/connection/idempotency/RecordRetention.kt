package redwingcross.connection.idempotency

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import redwingcross.connection.platform.ConditionalWrite
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.ObjectVersion
import redwingcross.connection.platform.PlatformResult
import redwingcross.connection.platform.PlatformStore
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WriteAnswer
import redwingcross.request.MonotonicClock
import redwingcross.request.idempotency.RecordAges
import redwingcross.request.idempotency.RecordVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Result of one call of [RecordRetention.removeExpired]. */
sealed interface RetentionResult {
    /** [removed] records were removed; [hasMore] is true if the write budget was used up before all were removed. */
    data class Done(val removed: Int, val hasMore: Boolean) : RetentionResult

    /** The platform did not answer, or the stored ages are malformed. */
    data class Unavailable(val detail: String) : RetentionResult
}

/**
 * Removes idempotency records that are older than [retention], by default 24 h.
 *
 * Not thread-safe: one coroutine of a controller calls it about once a minute. Several controllers may run it at the
 * same time. [markInterval] is the shortest time between two updates of the [RecordAges] in the store.
 */
class RecordRetention(
    private val platform: PlatformStore,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val retention: Duration = RecordAges.RETENTION,
    private val markInterval: Duration = 10.minutes,
) {
    private var observedVersion: RecordVersion? = null
    private var observedAt = Duration.ZERO
    private var sweptUpTo: RecordVersion? = null

    /**
     * Makes at most [writeBudget] writes. Lists all records only if more have expired since the last complete sweep.
     */
    suspend fun removeExpired(writeBudget: Int): RetentionResult = when (val read = platform.read(agesKey)) {
        is PlatformResult.Unavailable -> RetentionResult.Unavailable(read.detail)

        is PlatformResult.OutcomeUnknown -> RetentionResult.Unavailable(read.detail)

        is PlatformResult.Answered -> when (val found = read.value) {
            null -> {
                write(RecordAges(), null, writeBudget)
                RetentionResult.Done(0, hasMore = false)
            }

            else -> updateAgesAndSweep(found, writeBudget)
        }
    }

    private suspend fun updateAgesAndSweep(found: StoredObject, writeBudget: Int): RetentionResult {
        val ages =
            found.value.toAges()
                ?: return RetentionResult.Unavailable("$agesKey: value can't be decoded as record ages")
        val version = RecordVersion(found.version.value)
        if (observedVersion != version) observe(version)
        val elapsed = clock.now() - observedAt
        var budget = writeBudget
        if (elapsed >= markInterval && budget > 0) {
            write(ages.extended(version, elapsed, retention), found.version, budget--)
        }
        val expired = ages.expiredUpTo(version, elapsed, retention)
        val swept = sweptUpTo
        return when {
            expired == null || (swept != null && swept.value >= expired.value) ->
                RetentionResult.Done(0, hasMore = false)

            else -> sweep(expired, budget)
        }
    }

    private suspend fun sweep(expired: RecordVersion, budget: Int): RetentionResult =
        when (val listed = platform.list(idempotencyRecordKind)) {
            is PlatformResult.Unavailable -> RetentionResult.Unavailable(listed.detail)

            is PlatformResult.OutcomeUnknown -> RetentionResult.Unavailable(listed.detail)

            is PlatformResult.Answered -> {
                val due = listed.value.filter { it.version.value <= expired.value && it.key != agesKey }
                val removed = due.take(budget).count { platform.write(it.removal()).isAnswered() }
                if (removed == due.size) sweptUpTo = expired
                RetentionResult.Done(removed, hasMore = removed < due.size)
            }
        }

    private fun observe(version: RecordVersion) {
        observedVersion = version
        observedAt = clock.now()
    }

    private suspend fun write(ages: RecordAges, expected: ObjectVersion?, budget: Int) {
        if (budget <= 0) return
        val value = Json.encodeToJsonElement(RecordAges.serializer(), ages)
        val answer = (platform.write(ConditionalWrite.Put(agesKey, expected, value)) as? PlatformResult.Answered)?.value
        if (answer is WriteAnswer.Written) observe(RecordVersion(answer.version.value))
    }

    companion object {
        /** Record names contain a dot, so the name `ages` can't collide with one. */
        val agesKey = ObjectKey(idempotencyRecordKind, "ages")
    }
}

private fun StoredObject.removal() = ConditionalWrite.Delete(key, version)

private fun PlatformResult<WriteAnswer>.isAnswered() = this is PlatformResult.Answered

private fun JsonElement.toAges(): RecordAges? = try {
    Json.decodeFromJsonElement(RecordAges.serializer(), this)
} catch (_: SerializationException) {
    null
}
