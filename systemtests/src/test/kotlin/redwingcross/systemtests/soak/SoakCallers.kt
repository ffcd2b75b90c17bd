package redwingcross.systemtests.soak

import redwingcross.systemtests.platform.EngineStandin
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.random.Random

/** The kinds of requests that callers send. */
internal enum class CallKind(val method: String, val route: String) {
    BOOKING("POST", "/book/"),
    STATUS("GET", "/status/"),
    SMALL_CHAT("POST", "/chat-small/"),
    LARGE_CHAT("POST", "/chat-large/"),
    ;

    val isChat: Boolean get() = this == SMALL_CHAT || this == LARGE_CHAT
}

/** A final answer that says that the request has not run and never will. */
internal data class Refusal(val attempt: String, val status: Int)

/** Callers that use every edge, each on its own thread, and check what they are answered. */
internal class SoakCallers(private val addresses: () -> List<String>, seed: Long) : AutoCloseable {
    private val random = Random(seed)
    private val numbers = AtomicLong()
    private val clients = List(CALLERS) { newClient() }

    val findings = ConcurrentLinkedQueue<String>()
    val refusals = ConcurrentLinkedQueue<Refusal>()

    /** Attempts that may run once. */
    val bookings = ConcurrentLinkedQueue<String>()
    private val served = AtomicInteger()
    private val failed = AtomicInteger()

    @Volatile
    private var isRunning = true
    private val threads = clients.mapIndexed { index, client ->
        val own = Random(seed + index)
        thread(isDaemon = true) { while (isRunning) callOnce(client, own) }
    }

    /** Requests served and not served since the last call. */
    fun takeCounts(): Pair<Int, Int> = served.getAndSet(0) to failed.getAndSet(0)

    private fun newClient() = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(1))
        .build()

    private fun callOnce(client: HttpClient, own: Random) {
        val address = addresses().randomOrNull(own)
        if (address == null) {
            Thread.sleep(PAUSE_MILLIS)
            return
        }
        val kind = CallKind.entries.random(own)
        val attempt = "%016x".format(random.nextLong() xor numbers.incrementAndGet())
        val path = "${kind.route}$attempt"
        val events = own.nextInt(2, LONGEST_STREAM)
        val request = HttpRequest.newBuilder(URI("http://$address$path"))
            .timeout(Duration.ofMillis(DEADLINE_MILLIS))
            .header("Host", HOST)
            .header("Attempt-Id", attempt)
            .header("Deadline-Ms", "$DEADLINE_MILLIS")
            .header("Authorization", "Token $KEY")
        if (kind.isChat) {
            request.header("Model", if (kind == CallKind.SMALL_CHAT) "small" else "large")
            request.header("Token-Counts", "100,$events").header("Prompt-Prefix", "aa:100")
        }
        val body = if (kind.method ==
            "GET"
        ) {
            HttpRequest.BodyPublishers.noBody()
        } else {
            HttpRequest.BodyPublishers.ofString("x")
        }
        if (kind == CallKind.BOOKING) bookings += attempt
        try {
            val answer = client.send(request.method(kind.method, body).build(), HttpResponse.BodyHandlers.ofString())
            if (check(kind, attempt, path, events, answer)) served.incrementAndGet() else failed.incrementAndGet()
        } catch (_: IOException) {
            // The connection ended without a whole answer, which promises nothing.
            failed.incrementAndGet()
        }
        Thread.sleep(own.nextLong(PAUSE_MILLIS))
    }

    private fun check(
        kind: CallKind,
        attempt: String,
        path: String,
        events: Int,
        answer: HttpResponse<String>,
    ): Boolean {
        val status = answer.statusCode()
        when (status) {
            OK -> {
                val expected = if (kind.isChat) stream(path, events) else EngineStandin.content(path, 0)
                val isSigned = answer.headers().firstValue("Server-Stamp").isPresent
                if (answer.body() != expected || !isSigned) {
                    findings += "MIXED: $attempt ($kind) got ${answer.body().take(SHOWN)} for ${expected.take(SHOWN)}"
                }
            }
            in promises -> refusals += Refusal(attempt, status)
            in ownErrors -> Unit
            else -> findings += "DENIED: $attempt ($kind) got $status"
        }
        return status == OK
    }

    private fun stream(path: String, events: Int) =
        (1..events).joinToString("") { "id: $it\ndata: ${EngineStandin.content(path, it)}\n\n" }

    override fun close() {
        isRunning = false
        threads.forEach { it.join(DEADLINE_MILLIS * 2) }
    }

    companion object {
        const val KEY = "k1"
        const val HOST = "soak.example"

        private const val CALLERS = 12
        private const val DEADLINE_MILLIS = 3000L
        private const val PAUSE_MILLIS = 40L
        private const val LONGEST_STREAM = 30
        private const val SHOWN = 60
        private const val OK = 200

        /** 408, 421, 429 and 503 promise that the request has not run. */
        private val promises = setOf(408, 421, 429, 503)

        /** 404 and 401 are due only before a process knows a configuration, and then it answers 503 instead. */
        private val ownErrors = setOf(502, 504)
    }
}
