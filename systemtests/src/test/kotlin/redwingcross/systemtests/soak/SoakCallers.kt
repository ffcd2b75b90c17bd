package redwingcross.systemtests.soak

import redwingcross.systemtests.platform.EngineStandin
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpTimeoutException
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.random.Random

/** Kinds of requests that callers send. */
internal enum class CallKind(val method: String, val route: String) {
    BOOKING("POST", "/book/"),
    STATUS("GET", "/status/"),
    SMALL_CHAT("POST", "/chat-small/"),
    LARGE_CHAT("POST", "/chat-large/"),
    ;

    val isChat: Boolean get() = this == SMALL_CHAT || this == LARGE_CHAT
}

/** Response whose status guarantees that the request has not run and never will. */
internal data class Refusal(val attempt: String, val status: Int)

/** An attempt that the callers never got the answer to; [outcome] tells what they got. */
internal data class LostAnswer(val attempt: String, val outcome: String)

/** Requests of callers in one phase; [failures] counts those that failed by address and reason. */
internal class CallCounts(val served: Int, val failures: Map<String, Int>) {
    val failed: Int get() = failures.values.sum()
}

/** Callers that send requests to random edges, each on its own thread, and verify the responses. */
internal class SoakCallers(private val addresses: () -> List<String>, seed: Long) : AutoCloseable {
    private val random = Random(seed)
    private val attemptCounter = AtomicLong()
    private val clients = List(CALLERS) { newClient() }

    /** Violations that callers detected in responses. */
    val findings = ConcurrentLinkedQueue<String>()
    val refusals = ConcurrentLinkedQueue<Refusal>()

    /** Ids of attempts that may run at most once. */
    val bookings = ConcurrentLinkedQueue<String>()

    /** Ids of attempts whose connection ended without a complete response, before the caller stopped waiting. */
    val brokenOff = ConcurrentLinkedQueue<String>()

    /**
     * Attempts that were passed on and have no complete answer, although their time limit, which is also that of their
     * route, was not reached: those of [brokenOff] and those that were answered 502.
     */
    val lostEarly = ConcurrentLinkedQueue<LostAnswer>()
    private val served = AtomicInteger()
    private val failures = AtomicReference(emptyMap<String, Int>())

    @Volatile
    private var isRunning = true
    private val threads = clients.mapIndexed { index, client ->
        val callerRandom = Random(seed + index)
        thread(isDaemon = true) { while (isRunning) callOnce(client, callerRandom) }
    }

    /** Returns the counts since the last call, and resets them. */
    fun takeCounts() = CallCounts(served.getAndSet(0), failures.getAndSet(emptyMap()))

    private fun countFailure(reason: String) {
        failures.updateAndGet { it + (reason to (it[reason] ?: 0) + 1) }
    }

    private fun newClient() = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(1))
        .build()

    private fun callOnce(client: HttpClient, callerRandom: Random) {
        val address = addresses().randomOrNull(callerRandom)
        if (address == null) {
            Thread.sleep(MAX_PAUSE_MILLIS)
            return
        }
        val kind = CallKind.entries.random(callerRandom)
        val attempt = "%016x".format(random.nextLong() xor attemptCounter.incrementAndGet())
        val path = "${kind.route}$attempt"
        val events = callerRandom.nextInt(2, MAX_STREAM_EVENTS)
        val request = HttpRequest.newBuilder(URI("http://$address$path"))
            .timeout(Duration.ofMillis(DEADLINE_MILLIS))
            .header("Host", HOST)
            .header("Attempt-Id", attempt)
            .header("Deadline-Ms", "$DEADLINE_MILLIS")
            .header("Authorization", "Token $KEY")
        if (kind.isChat) {
            request.header("Model", if (kind == CallKind.SMALL_CHAT) "small" else "large")
            request.header("Token-Counts", "100,$events").header("Prompt-Prefix", "$SHARED_PART:50,$attempt:50")
        }
        val body = if (kind.method ==
            "GET"
        ) {
            HttpRequest.BodyPublishers.noBody()
        } else {
            HttpRequest.BodyPublishers.ofString("x")
        }
        if (kind == CallKind.BOOKING) bookings += attempt
        val sentAt = System.nanoTime()
        try {
            val response = client.send(request.method(kind.method, body).build(), HttpResponse.BodyHandlers.ofString())
            val isServed = verify(kind, attempt, path, events, response)
            if (isServed) served.incrementAndGet() else countFailure("$address ${response.statusCode()}")
            if (response.statusCode() == OUTCOME_UNKNOWN) recordLost(attempt, "was answered $OUTCOME_UNKNOWN", sentAt)
        } catch (exception: IOException) {
            // Without a complete response the caller cannot tell whether the request ran.
            countFailure("$address ${exception::class.simpleName}")
            if (exception !is HttpTimeoutException) {
                brokenOff += attempt
                recordLost(attempt, "got no complete answer from $address: $exception", sentAt)
            }
        }
        Thread.sleep(callerRandom.nextLong(MAX_PAUSE_MILLIS))
    }

    private fun recordLost(attempt: String, outcome: String, sentAt: Long) {
        val elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt)
        if (elapsed < DEADLINE_MILLIS - TIMER_MILLIS) lostEarly += LostAnswer(attempt, "$outcome after $elapsed ms")
    }

    private fun verify(
        kind: CallKind,
        attempt: String,
        path: String,
        events: Int,
        response: HttpResponse<String>,
    ): Boolean {
        val status = response.statusCode()
        when (status) {
            OK -> {
                val expected = if (kind.isChat) expectedStream(path, events) else EngineStandin.content(path, 0)
                val isSigned = response.headers().firstValue("Server-Stamp").isPresent
                if (response.body() != expected || !isSigned) {
                    findings +=
                        "MIXED: $attempt ($kind) got ${response.body().take(MAX_SHOWN)} for ${expected.take(MAX_SHOWN)}"
                }
            }
            in notExecutedStatuses -> refusals += Refusal(attempt, status)
            in failureStatuses -> Unit
            else -> findings += "DENIED: $attempt ($kind) got $status"
        }
        return status == OK
    }

    private fun expectedStream(path: String, events: Int) =
        (1..events).joinToString("") { "id: $it\ndata: ${EngineStandin.content(path, it)}\n\n" }

    override fun close() {
        isRunning = false
        threads.forEach { it.join(DEADLINE_MILLIS * 2) }
    }

    companion object {
        const val KEY = "k1"
        const val HOST = "soak.example"

        /** Part that the prompts of all callers have in common. */
        const val SHARED_PART = "aa"

        private const val CALLERS = 12
        private const val DEADLINE_MILLIS = 3000L

        /** The timer of a request at an edge may run this much before that of its caller. */
        private const val TIMER_MILLIS = 100L
        private const val MAX_PAUSE_MILLIS = 40L
        private const val MAX_STREAM_EVENTS = 30
        private const val MAX_SHOWN = 60
        private const val OK = 200

        /** The request was passed on, and it is not known whether it ran. */
        private const val OUTCOME_UNKNOWN = 502

        /** 408, 421, 429 and 503 guarantee that the request has not run. */
        val notExecutedStatuses = setOf(408, 421, 429, 503)

        /** 401 and 404 are not expected: a process without a configuration responds with 503. */
        private val failureStatuses = setOf(OUTCOME_UNKNOWN, 504)
    }
}
