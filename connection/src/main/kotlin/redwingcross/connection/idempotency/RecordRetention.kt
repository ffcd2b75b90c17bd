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

/** What one call of [RecordRetention.removeExpired] did. */
sealed interface RetentionResult {
    /** [removed] records were removed; [hasMore] if the write budget ended before the expired records did. */
    data class Done(val removed: Int, val hasMore: Boolean) : RetentionResult

    data class Unavailable(val detail: String) : RetentionResult
}

/**
 * Removes idempotency records older than 24 h. Owned by one task of a controller that calls it about once a minute;
 * several controllers may do so at the same time.
 */
class RecordRetention(
    private val platform: PlatformStore,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val retention: Duration = RecordAges.RETENTION,
    private val markInterval: Duration = 10.minutes,
) {
    private var seen: RecordVersion? = null
    private var seenAt = Duration.ZERO
    private var sweptUpTo: RecordVersion? = null

    /** Makes at most [writeBudget] writes. The whole kind is listed only when more records have expired. */
    suspend fun removeExpired(writeBudget: Int): RetentionResult = when (val read = platform.read(agesKey)) {
        is PlatformResult.Unavailable -> RetentionResult.Unavailable(read.detail)

        is PlatformResult.OutcomeUnknown -> RetentionResult.Unavailable(read.detail)

        is PlatformResult.Answered -> when (val found = read.value) {
            null -> {
                write(RecordAges(), null, writeBudget)
                RetentionResult.Done(0, hasMore = false)
            }

            else -> advance(found, writeBudget)
        }
    }

    private suspend fun advance(found: StoredObject, writeBudget: Int): RetentionResult {
        val ages = found.value.toAges() ?: return RetentionResult.Unavailable("$agesKey: malformed value")
        val version = RecordVersion(found.version.value)
        if (seen != version) see(version)
        val passed = clock.now() - seenAt
        var budget = writeBudget
        if (passed >= markInterval && budget > 0) {
            write(ages.extended(version, passed, retention), found.version, budget--)
        }
        val expired = ages.expiredUpTo(version, passed, retention)
        val swept = sweptUpTo
        return when {
            expired == null || (swept != null && swept.value >= expired.value) ->
                RetentionResult.Done(0, hasMore = false)

            else -> sweep(expired, budget)
        }
    }

    private suspend fun sweep(expired: RecordVersion, budget: Int): RetentionResult =
        when (val listed = platform.list(bookingsKind)) {
            is PlatformResult.Unavailable -> RetentionResult.Unavailable(listed.detail)

            is PlatformResult.OutcomeUnknown -> RetentionResult.Unavailable(listed.detail)

            is PlatformResult.Answered -> {
                val due = listed.value.filter { it.version.value <= expired.value && it.key != agesKey }
                val removed = due.take(budget).count { platform.write(it.removal()).isAnswered() }
                if (removed == due.size) sweptUpTo = expired
                RetentionResult.Done(removed, hasMore = removed < due.size)
            }
        }

    private fun see(version: RecordVersion) {
        seen = version
        seenAt = clock.now()
    }

    private suspend fun write(ages: RecordAges, expected: ObjectVersion?, budget: Int) {
        if (budget <= 0) return
        val value = Json.encodeToJsonElement(RecordAges.serializer(), ages)
        val answer = (platform.write(ConditionalWrite.Put(agesKey, expected, value)) as? PlatformResult.Answered)?.value
        if (answer is WriteAnswer.Written) see(RecordVersion(answer.version.value))
    }

    companion object {
        /** Names of records contain a dot, so this name is free. */
        val agesKey = ObjectKey(bookingsKind, "ages")
    }
}

private fun StoredObject.removal() = ConditionalWrite.Delete(key, version)

private fun PlatformResult<WriteAnswer>.isAnswered() = this is PlatformResult.Answered

private fun JsonElement.toAges(): RecordAges? = try {
    Json.decodeFromJsonElement(RecordAges.serializer(), this)
} catch (_: SerializationException) {
    null
}
