package redwingcross.process.edge

import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
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

    /** The newest era of the store for which a watch was restarted. */
    private val restartedFor = mutableMapOf<UpdateSource, StoreEra>()

    /**
     * Compares the progress of another process with [own]; returns the sources whose watch has to be restarted.
     * Progress in an era that no store can be in is ignored.
     */
    fun compare(
        other: Map<UpdateSource, WatchProgress>,
        own: Map<UpdateSource, WatchProgress>,
        now: Duration,
    ): List<UpdateSource> = other.filterValues { it.era.isPlausible }.mapNotNull { (source, progress) ->
        val reached = own[source]?.reachedPosition(source) ?: StorePosition.START
        if (reached >= (awaited[source]?.position ?: StorePosition.START)) awaited.remove(source)
        val changed = progress.changedPosition
        if (changed > reached && !isRefuted(source, changed, reached)) {
            awaited.getOrPut(source) { Awaited(changed, now) }
        }
        val late = awaited[source]?.takeIf { now - it.since >= maximumLag(source) } ?: return@mapNotNull null
        awaited.remove(source)
        if (late.position.era > reached.era) restartedFor[source] = late.position.era
        source
    }

    /**
     * A watch that is restarted lists its objects again, and the first answer states the era. If the watch stays in an
     * earlier era, the store isn't in the claimed one or doesn't answer yet, and a further restart doesn't help.
     */
    private fun isRefuted(source: UpdateSource, claimed: StorePosition, reached: StorePosition): Boolean =
        claimed.era > reached.era && claimed.era <= (restartedFor[source] ?: StoreEra.FIRST)

    /**
     * Point up to which this process is up to date. The configuration is a single object, so the revision of the
     * object counts. Entries of the other kinds can be deleted, so the confirmed revision of the store counts.
     */
    private fun WatchProgress.reachedPosition(source: UpdateSource): StorePosition =
        if (source == UpdateSource.CONFIGURATION) changedPosition else confirmedPosition

    private data class Awaited(val position: StorePosition, val since: Duration)
}
