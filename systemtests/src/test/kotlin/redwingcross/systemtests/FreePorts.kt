package redwingcross.systemtests

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Ports below the range from which Linux takes the local ports of outgoing connections. A connection of another program
 * can't take one of them between the end of [freePorts] and the start of the process that listens on it.
 */
private val portRange = 10_000..32_000

/** Returns [count] distinct loopback ports that were free at the time of the call; they are not reserved. */
internal fun freePorts(count: Int): List<Int> = portRange.shuffled().asSequence().filter(::isFree).take(count).toList()

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: IOException) {
    false
}
