package redwingcross.process.edge

import redwingcross.version.fleet.NewsSource
import kotlin.time.Duration

/**
 * Finds sources of which other processes have seen changes that this one has not. Its own question to the store then
 * waits on a connection that has gone silent, or the store turns this process away.
 */
class FollowLag(private val patience: (NewsSource) -> Duration) {
    private val awaited = mutableMapOf<NewsSource, Awaited>()

    /** Compares another process's progress with [own]; returns the sources that have to be asked for again. */
    fun compare(
        other: Map<NewsSource, FollowProgress>,
        own: Map<NewsSource, FollowProgress>,
        now: Duration,
    ): List<NewsSource> = other.mapNotNull { (source, progress) ->
        val confirmed = own[source]?.seenOf(source) ?: 0
        if (confirmed >= (awaited[source]?.revision ?: 0)) awaited.remove(source)
        if (progress.changed > confirmed) awaited.getOrPut(source) { Awaited(progress.changed, now) }
        val isLate = awaited[source]?.let { now - it.since >= patience(source) } == true
        source.takeIf { isLate }?.also { awaited.remove(it) }
    }

    /** The configuration is one object, so its own revision tells; of other kinds an entry may be gone. */
    private fun FollowProgress.seenOf(source: NewsSource): Long =
        if (source == NewsSource.CONFIGURATION) changed else confirmed

    private data class Awaited(val revision: Long, val since: Duration)
}
