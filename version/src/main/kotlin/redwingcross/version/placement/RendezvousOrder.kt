package redwingcross.version.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import java.security.MessageDigest

/**
 * Controllers in the order in which they are responsible for a zone. A controller that leaves changes the order of no
 * others, so that responsibilities move only where they must.
 */
fun rendezvousOrder(zone: AvailabilityZone, controllers: Collection<ProcessName>): List<ProcessName> =
    controllers.distinct().sortedWith(compareByDescending<ProcessName> { weight(zone, it) }.thenBy { it.value })

private fun weight(zone: AvailabilityZone, controller: ProcessName): Long = MessageDigest
    .getInstance("SHA-256")
    .digest("${zone.value}\u0000${controller.value}".toByteArray())
    .take(Long.SIZE_BYTES)
    .fold(0L) { bits, byte -> (bits shl Byte.SIZE_BITS) or byte.toUByte().toLong() }
