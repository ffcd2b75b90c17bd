package redwingcross.connection.backend

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** One received request, with header names in lower case. */
internal class RawRequest(val line: String, val headers: Map<String, String>, val body: String)

/** A server that passes each request and its socket to [handler], which writes the raw bytes of the response itself. */
internal class RawServer(private val handler: (RawRequest, Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val closed = LinkedBlockingQueue<Unit>()
    val requests = CopyOnWriteArrayList<RawRequest>()
    val endpoint = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = listener.accept()
                    thread(isDaemon = true) { runCatching { socket.use(::serve) } }
                }
            }
        }
    }

    private fun serve(socket: Socket) {
        while (true) {
            val request = socket.getInputStream().readRequest() ?: break
            requests += request
            handler(request, socket)
        }
        closed += Unit
    }

    /** Waits until a client has closed its connection. */
    fun awaitClientClose() = checkNotNull(closed.poll(20, TimeUnit.SECONDS)) { "no connection was closed" }

    override fun close() = listener.close()
}

private fun InputStream.readRequest(): RawRequest? {
    val line = readLine() ?: return null
    val headers = generateSequence { readLine()?.takeIf(String::isNotEmpty) }
        .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
    val body = readNBytes(headers["content-length"]?.toInt() ?: 0)
    return RawRequest(line, headers, body.decodeToString())
}

private fun InputStream.readLine(): String? {
    val line = StringBuilder()
    while (true) {
        when (val byte = read()) {
            -1 -> return line.toString().ifEmpty { null }
            '\n'.code -> return line.toString().trimEnd('\r')
            else -> line.append(byte.toChar())
        }
    }
}

internal fun Socket.respond(text: String) = getOutputStream().write(text.replace("\n", "\r\n").toByteArray())
