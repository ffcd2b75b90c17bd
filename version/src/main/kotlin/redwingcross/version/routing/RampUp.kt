package redwingcross.version.routing

import redwingcross.version.control.CapacityLimits
import kotlin.time.Duration

/**
 * Concurrency limit of a server that has been ready for [servingFor]: starts at the cold limit and doubles with each
 * ramp step up to the warm limit.
 */
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
