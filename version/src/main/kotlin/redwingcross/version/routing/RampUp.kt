package redwingcross.version.routing

import redwingcross.version.control.CapacityLimits
import kotlin.time.Duration

/** Concurrent requests that a server bears [servingFor] after it became ready: it doubles with each ramp step. */
fun CapacityLimits.at(servingFor: Duration): Int {
    if (cold >= warm || rampStep <= Duration.ZERO) return warm
    if (servingFor < Duration.ZERO) return cold
    var limit = cold
    var reached = rampStep
    while (limit in 1 until warm && reached <= servingFor) {
        limit *= 2
        reached += rampStep
    }
    return minOf(limit, warm)
}
