package redwingcross.process.edge

import redwingcross.version.fleet.UpdateSource
import kotlin.time.Duration

/**
 * Detects sources for which other processes have received changes that this process has not. In that case the pending
 * watch request of this process waits on a connection that no longer delivers data, or the store rejects its requests.
 *
 * [maximumLag] is the time for which this process may be behind on a source.
 */
class WatchLagDetector(private val maximumLag: (UpdateSource) -> Duration) {
    private val awaited = mutableMapOf<UpdateSource, Awaited>()

    /** Compares the progress of another process with [own]; returns the sources whose watch has to be restarted. */
    fun compare(
        other: Map<UpdateSource, WatchProgress>,
        own: Map<UpdateSource, WatchProgress>,
        now: Duration,
    ): List<UpdateSource> = other.mapNotNull { (source, progress) ->
        val confirmed = own[source]?.upToDateRevision(source) ?: 0
        if (confirmed >= (awaited[source]?.revision ?: 0)) awaited.remove(source)
        if (progress.changed > confirmed) awaited.getOrPut(source) { Awaited(progress.changed, now) }
        val isLate = awaited[source]?.let { now - it.since >= maximumLag(source) } == true
        source.takeIf { isLate }?.also { awaited.remove(it) }
    }

    /**
     * Revision up to which this process is up to date. The configuration is a single object, so the revision of the
     * object counts. Entries of the other kinds can be deleted, so the confirmed revision of the store counts.
     */
    private fun WatchProgress.upToDateRevision(source: UpdateSource): Long =
        if (source == UpdateSource.CONFIGURATION) changed else confirmed

    private data class Awaited(val revision: Long, val since: Duration)
}
