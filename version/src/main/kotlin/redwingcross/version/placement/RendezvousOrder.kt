package redwingcross.version.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import java.security.MessageDigest

/**
 * Orders controllers by rendezvous hashing; the first one is responsible for the zone. When a controller leaves, the
 * order of the others is unchanged, so that only the zones it was responsible for move.
 */
fun rendezvousOrder(zone: AvailabilityZone, controllers: Collection<ProcessName>): List<ProcessName> =
    controllers.distinct().sortedWith(compareByDescending<ProcessName> { weight(zone, it) }.thenBy { it.value })

private fun weight(zone: AvailabilityZone, controller: ProcessName): Long = MessageDigest
    .getInstance("SHA-256")
    .digest("${zone.value}\u0000${controller.value}".toByteArray())
    .take(Long.SIZE_BYTES)
    .fold(0L) { bits, byte -> (bits shl Byte.SIZE_BITS) or byte.toUByte().toLong() }
