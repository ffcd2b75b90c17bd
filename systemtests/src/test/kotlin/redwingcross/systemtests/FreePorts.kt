package redwingcross.systemtests

import java.net.InetAddress
import java.net.ServerSocket

/** Returns [count] distinct loopback ports that were free at the time of the call; they are not reserved. */
internal fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")) }
    return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
}
