package redwingcross.systemtests.soak

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import redwingcross.systemtests.platform.EngineStandin
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/** A request that was sent as a whole; its connection ended [ageMillis] later without a byte of a response. */
internal data class UnansweredRequest(val attempt: String, val ageMillis: Long)

/**
 * Callers that keep their connections for as long as the edges do. They use them again at once, or after less than the
 * shortest idle time, for single requests and pairs in one write.
 */
internal class KeptConnectionCallers(addresses: List<String>, seed: Long) : AutoCloseable {
    private class Request(val kind: CallKind, random: Random) {
        val attempt = "%016x".format(random.nextLong())
        val isFurther = kind == CallKind.STATUS && random.nextInt(FURTHER_EVERY) == 0
        val path = (if (isFurther) "/extra-0/" else kind.route) + attempt
        val events = random.nextInt(1, MAX_EVENTS)
        val bodyBytes = if (kind == CallKind.BOOKING) BODY_BYTES.random(random) else 0
        val hasFurtherKey = random.nextInt(FURTHER_EVERY) == 0

        fun encode(): ByteArray {
            val key = if (hasFurtherKey) SoakConfiguration.FURTHER_KEY else SoakCallers.KEY
            val generation = "Model: ${if (kind == CallKind.SMALL_CHAT) "small" else "large"}\r\n" +
                "Token-Counts: 100,$events\r\nPrompt-Prefix: ${SoakCallers.SHARED_PART}:50,$attempt:50\r\n"
            val head = "${kind.method} $path HTTP/1.1\r\nHost: ${SoakCallers.HOST}\r\nAttempt-Id: $attempt\r\n" +
                "Deadline-Ms: $DEADLINE_MILLIS\r\nAuthorization: Token $key\r\n" +
                (if (kind.isChat) generation else "") + "Content-Length: $bodyBytes\r\n\r\n"
            return head.toByteArray() + ByteArray(bodyBytes)
        }

        fun expectedBody() = if (kind.isChat) {
            (1..events).joinToString("") { "id: $it\ndata: ${EngineStandin.content(path, it)}\n\n" }
        } else {
            EngineStandin.content(path, 0)
        }
    }

    val findings = ConcurrentLinkedQueue<String>()
    val refusals = ConcurrentLinkedQueue<Refusal>()
    val bookings = ConcurrentLinkedQueue<String>()
    val unanswered = ConcurrentLinkedQueue<UnansweredRequest>()

    /** Number of requests by what became of them. */
    val counts = ConcurrentHashMap<String, Int>()

    @Volatile
    private var isRunning = true
    private val threads = List(CONNECTIONS) { index ->
        val random = Random(seed * CONNECTIONS + index)
        val address = addresses[index % addresses.size].split(':').let { InetSocketAddress(it[0], it[1].toInt()) }
        thread(isDaemon = true) {
            while (isRunning) {
                try {
                    Socket().use { useConnection(it, address, random) }
                } catch (_: IOException) {
                    count("not sent")
                }
            }
        }
    }

    private fun count(outcome: String) {
        counts.merge(outcome, 1, Int::plus)
    }

    private fun useConnection(socket: Socket, address: InetSocketAddress, random: Random) {
        socket.connect(address, LONGEST_WAIT_MILLIS)
        socket.soTimeout = LONGEST_WAIT_MILLIS
        val decoder = EmbeddedChannel(HttpResponseDecoder(), HttpObjectAggregator(LONGEST_RESPONSE_BYTES))
        var isOpen = true
        while (isOpen && isRunning) {
            if (random.nextInt(PAUSE_EVERY) == 0) Thread.sleep(random.nextLong(LONGEST_PAUSE_MILLIS))
            val requests = List(if (random.nextInt(PAIR_EVERY) == 0) 2 else 1) {
                Request(CallKind.entries.random(random), random)
            }
            requests.filter { it.kind == CallKind.BOOKING }.forEach { bookings += it.attempt }
            socket.getOutputStream().write(requests.map(Request::encode).reduce(ByteArray::plus))
            val sentAt = now()
            isOpen = requests.all { receive(it, socket, decoder, sentAt) }
        }
    }

    /** Receives the response to [request]; false if the connection ends with it. */
    private fun receive(request: Request, socket: Socket, decoder: EmbeddedChannel, sentAt: Long): Boolean {
        val buffer = ByteArray(BUFFER_BYTES)
        var received = 0
        while (true) {
            decoder.readInbound<FullHttpResponse>()?.let { response ->
                verify(request, response.status().code(), response.content().toString(Charsets.UTF_8))
                return HttpUtil.isKeepAlive(response).also { response.release() }
            }
            val length = try {
                socket.getInputStream().read(buffer)
            } catch (_: SocketTimeoutException) {
                findings += "UNANSWERED: ${request.attempt} (${request.kind}) for $LONGEST_WAIT_MILLIS ms"
                return false
            } catch (_: IOException) {
                -1
            }
            val age = now() - sentAt
            when {
                length > 0 -> decoder.writeInbound(Unpooled.copiedBuffer(buffer, 0, length))
                received == 0 -> unanswered += UnansweredRequest(request.attempt, age)
                age > DEADLINE_MILLIS - TIMER_MILLIS -> count("expired")
                else -> findings += "CUT: ${request.attempt} (${request.kind}) after $age ms"
            }
            if (length <= 0) return false
            received += length
        }
    }

    private fun verify(request: Request, status: Int, body: String) {
        count("$status")
        val isExpected = when (status) {
            OK -> body == request.expectedBody()
            in SoakCallers.notExecutedStatuses -> refusals.add(Refusal(request.attempt, status))
            EXPIRED -> true
            UNAUTHORIZED -> request.hasFurtherKey
            NOT_FOUND -> request.isFurther
            TOO_LARGE -> request.bodyBytes > SoakConfiguration.ALLOWED_BODY_BYTES
            else -> false
        }
        if (!isExpected) findings += "ANSWER: ${request.attempt} (${request.kind}) got $status $body"
    }

    override fun close() {
        isRunning = false
        threads.forEach { it.join(LONGEST_WAIT_MILLIS.toLong()) }
    }

    private companion object {
        const val CONNECTIONS = 48
        const val DEADLINE_MILLIS = 3000L

        /** The timer of a request at an edge may run this much before that of its caller. */
        const val TIMER_MILLIS = 100L

        /** Far more than the time limit of a request and all pauses of a process. */
        const val LONGEST_WAIT_MILLIS = 15_000

        /** Four fifths of the shortest idle time. */
        const val LONGEST_PAUSE_MILLIS = 1600L
        const val PAUSE_EVERY = 20
        const val PAIR_EVERY = 3
        const val FURTHER_EVERY = 8
        const val MAX_EVENTS = 15
        const val BUFFER_BYTES = 8192
        const val LONGEST_RESPONSE_BYTES = 65_536
        val BODY_BYTES = listOf(1, 3_000, 100_000, 400_000)
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_LARGE = 413
        const val EXPIRED = 504

        fun now() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
    }
}
