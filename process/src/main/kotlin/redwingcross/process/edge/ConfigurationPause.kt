package redwingcross.process.edge

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Pause between the answer to a request for changes of the configuration and the next request, if a configuration has
 * to be in force within [applyWithin]. Answers the load of configurations that come in quick succession in a large
 * fleet, where each process reads each of them: one that is replaced within the pause is not read.
 *
 * The rest of the time is left for a watch that is silently dead: another process receives the change, reports it, and
 * this process restarts its watch after a lag of one more pause.
 */
fun configurationPause(applyWithin: Duration): Duration =
    (MINIMUM_PAUSE + (applyWithin - SHORTEST_APPLY_TIME) * PAUSE_FRACTION).coerceIn(MINIMUM_PAUSE, MAXIMUM_PAUSE)

private val MINIMUM_PAUSE = 200.milliseconds
private val MAXIMUM_PAUSE = 2.seconds

/** A shorter bound leaves no time for longer pauses. */
private val SHORTEST_APPLY_TIME = 2.seconds
private const val PAUSE_FRACTION = 0.3
