package redwingcross.connection.http

import io.netty.channel.Channel
import io.netty.channel.nio.AbstractNioChannel

/**
 * Reads what has already arrived at the socket, at most a few buffers of it, as if it had become readable. A listening
 * socket accepts a few connections.
 *
 * After a pause of the process, timers can run before the sockets are read. Called on the event loop before a timer
 * ends a connection, but not while the connection is being read.
 */
internal fun Channel.readPending() {
    (unsafe() as AbstractNioChannel.NioUnsafe).read()
}

/** Writes as much of the pending bytes as the socket accepts, as if it had become writable; on the event loop. */
internal fun Channel.writePending() {
    (unsafe() as AbstractNioChannel.NioUnsafe).forceFlush()
}

/** Bytes that were passed on to be sent and have not been written to the socket, with an overhead for each message. */
internal val Channel.unsentBytes: Long
    get() = unsafe().outboundBuffer()?.let { it.totalPendingWriteBytes() - it.currentProgress() } ?: 0
