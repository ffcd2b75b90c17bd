package redwingcross.connection.caller

import org.xnio.ChannelListener
import org.xnio.IoUtils
import org.xnio.StreamConnection
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Passes accepted connections to [next] and closes those that exceed the total limit or the limit per IP address. */
internal class ConnectionLimit(
    private val maxConnections: Int,
    private val maxPerAddress: Int,
    private val next: ChannelListener<StreamConnection>,
) : ChannelListener<StreamConnection> {
    private val total = AtomicInteger()
    private val byAddress = ConcurrentHashMap<InetAddress, Int>()

    override fun handleEvent(connection: StreamConnection) {
        val address = (connection.peerAddress as? InetSocketAddress)?.address
        if (address == null || !open(address)) {
            IoUtils.safeClose(connection)
            return
        }
        next.handleEvent(connection)
        val closed = AtomicBoolean(false)
        val release = { if (closed.compareAndSet(false, true)) close(address) }
        val existingListener = connection.closeListener
        connection.setCloseListener { channel ->
            release()
            existingListener?.handleEvent(channel)
        }
        // The connection may have been closed before the close listener was set.
        if (!connection.isOpen) release()
    }

    private fun open(address: InetAddress): Boolean {
        if (total.incrementAndGet() > maxConnections) {
            total.decrementAndGet()
            return false
        }
        val count = byAddress.merge(address, 1, Int::plus) ?: 1
        return (count <= maxPerAddress).also { isWithinLimit -> if (!isWithinLimit) close(address) }
    }

    private fun close(address: InetAddress) {
        total.decrementAndGet()
        byAddress.computeIfPresent(address) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
