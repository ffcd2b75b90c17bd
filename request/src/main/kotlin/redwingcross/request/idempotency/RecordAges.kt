package redwingcross.request.idempotency

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** At [version], the [RecordAges] had counted [counted]. */
@Serializable
data class AgeMark(val version: RecordVersion, val counted: Duration)

/**
 * A lower bound of the time that has passed, kept in the store next to the records it dates.
 *
 * VM clocks differ and no process lives for a day, so neither dates a record. Instead each controller adds the time
 * that it measured itself since it saw the newest version of this object. Time in which no controller measured is not
 * counted, so a record is never taken for older than it is.
 */
@Serializable
data class RecordAges(val counted: Duration = Duration.ZERO, val marks: List<AgeMark> = emptyList()) {
    /**
     * The next value, written over [version], which the writer saw at least [passed] ago. Marks that no longer
     * date any record are dropped.
     */
    fun extended(version: RecordVersion, passed: Duration, retention: Duration = RETENTION): RecordAges {
        val total = counted + passed
        val all = marks + AgeMark(version, counted)
        val newestExpired = all.indexOfLast { total - it.counted >= retention }
        return RecordAges(total, all.drop(newestExpired.coerceAtLeast(0)))
    }

    /** Records at this version or below are older than [retention]; null if none is known to be. */
    fun expiredUpTo(version: RecordVersion, passed: Duration, retention: Duration = RETENTION): RecordVersion? =
        (marks + AgeMark(version, counted)).lastOrNull { counted + passed - it.counted >= retention }?.version

    companion object {
        /** Time for which a stored answer can be replayed. */
        val RETENTION = 24.hours
    }
}
