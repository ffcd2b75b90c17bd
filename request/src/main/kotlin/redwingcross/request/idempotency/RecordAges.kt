package redwingcross.request.idempotency

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** Value of [RecordAges.counted] when the [RecordAges] object had [version]. */
@Serializable
data class AgeMark(val version: RecordVersion, val counted: Duration)

/**
 * Counter of elapsed time, stored next to the records and used to determine their age.
 *
 * Clocks of different VMs differ and no process runs for a day, so neither can determine the age of a record. Instead,
 * each controller adds the time that it measured since it read the newest version of this object. Time in which no
 * controller was running is not counted, so the computed age of a record is never greater than its real age.
 */
@Serializable
data class RecordAges(val counted: Duration = Duration.ZERO, val marks: List<AgeMark> = emptyList()) {
    /**
     * Returns the value to write over [version], which the writer read at least [passed] ago. Drops marks that are no
     * longer needed to determine the age of a record.
     */
    fun extended(version: RecordVersion, passed: Duration, retention: Duration = RETENTION): RecordAges {
        val total = counted + passed
        val all = marks + AgeMark(version, counted)
        val newestExpired = all.indexOfLast { total - it.counted >= retention }
        return RecordAges(total, all.drop(newestExpired.coerceAtLeast(0)))
    }

    /**
     * Returns the version up to which all records are older than [retention], or null if no record is known to be. This
     * object was read at [version], at least [passed] ago.
     */
    fun expiredUpTo(version: RecordVersion, passed: Duration, retention: Duration = RETENTION): RecordVersion? =
        (marks + AgeMark(version, counted)).lastOrNull { counted + passed - it.counted >= retention }?.version

    companion object {
        /** Minimum time for which a stored answer can be replayed; later, the key can run again. */
        val RETENTION = 24.hours
    }
}
