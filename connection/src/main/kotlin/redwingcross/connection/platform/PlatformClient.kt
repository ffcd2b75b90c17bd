package redwingcross.connection.platform

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.Request
import redwingcross.request.Checked
import redwingcross.request.Finding
import redwingcross.request.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Client of the platform's store over HTTP. Its coroutines run in [scope]; when the scope ends, queued calls fail and
 * all connections are closed.
 *
 * A call is sent at most once to each base URL. A write is sent to another base URL only if no byte of it can have been
 * sent before.
 */
class PlatformClient private constructor(
    private val settings: PlatformClientSettings,
    private val baseUrls: List<HttpUrl>,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val longPollWait: () -> Duration,
) {
    private val exchange = PlatformExchange(settings)
    private val mailbox = Channel<PlatformCall>(settings.maxWaitingCalls) { it.failUnsent("the client is closed") }

    /** The calls of this client. A watch evaluates [longPollWait] before each long poll. */
    val store = PlatformStore(::read, ::list, ::write, ::watch)

    private fun start(): PlatformClient = apply {
        repeat(settings.maxConcurrentCalls) { scope.launch { work() } }
        scope.coroutineContext.job.invokeOnCompletion {
            mailbox.cancel()
            exchange.close()
        }
    }

    private suspend fun work() {
        var preferred = 0
        for (call in mailbox) {
            if (call.reply.isCompleted) continue
            try {
                if (clock.now() - call.since > settings.callTimeout) {
                    call.failUnsent("${call.name}: queued longer than ${settings.callTimeout}")
                } else {
                    preferred = perform(call, preferred)
                }
            } catch (cancelled: CancellationException) {
                call.reply.complete(ExchangeResult.Failed("${call.name}: the client is closed", sent = true))
                throw cancelled
            }
        }
    }

    /** Performs [call] and returns the index of the base URL to try first for the next call. */
    private suspend fun perform(call: PlatformCall, preferred: Int): Int {
        var last: ExchangeResult = ExchangeResult.Failed("${call.name}: no base URL", sent = false)
        for (offset in baseUrls.indices) {
            val index = (preferred + offset) % baseUrls.size
            last = exchange.run(call.request(baseUrls[index]), settings.callTimeout)
            if (!last.canRetryAtNextUrl(call.isWrite)) {
                call.reply.complete(last)
                return index
            }
        }
        call.reply.complete(last)
        return (preferred + 1) % baseUrls.size
    }

    private suspend fun submit(name: String, isWrite: Boolean, request: (HttpUrl) -> Request): ExchangeResult {
        val call = PlatformCall(name, isWrite, clock.now(), request)
        val accepted = mailbox.trySend(call)
        if (accepted.isClosed) call.failUnsent("$name: the client is closed")
        if (accepted.isFailure) call.failUnsent("$name: queue full, ${settings.maxWaitingCalls} calls are waiting")
        try {
            return call.reply.await()
        } catch (cancelled: CancellationException) {
            call.reply.cancel()
            throw cancelled
        }
    }

    private suspend fun read(key: ObjectKey): PlatformResult<StoredObject?> =
        when (val result = submit("GET $key", isWrite = false) { Request.Builder().url(it.at(key)).build() }) {
            is ExchangeResult.Failed -> PlatformResult.Unavailable(result.detail)
            is ExchangeResult.Answer -> when (result.status) {
                OK -> decodeObject(key, result).orUnavailable { it }
                NOT_FOUND -> PlatformResult.Answered(null)
                else -> PlatformResult.Unavailable("GET $key: unexpected status ${result.status}")
            }
        }

    private suspend fun list(kind: ObjectKind): PlatformResult<List<StoredObject>> =
        submit("GET $kind", isWrite = false) { Request.Builder().url(it.at(kind)).build() }
            .toListResult(kind)
            .map { listed -> listed.objects.mapNotNull { it.stored() } }

    private suspend fun write(write: ConditionalWrite): PlatformResult<WriteAnswer> {
        val bytes = (write as? ConditionalWrite.Put)?.value?.toString().orEmpty().encodeToByteArray()
        if (bytes.size > MAX_VALUE_BYTES) {
            return PlatformResult.Unavailable(
                "PUT ${write.key}: value of ${bytes.size} bytes exceeds the limit of $MAX_VALUE_BYTES",
            )
        }
        return submit("write ${write.key}", isWrite = true) { write.toRequest(it, bytes) }.toWriteResult(write.key)
    }

    private fun watch(kind: ObjectKind) =
        PlatformWatch(kind, longPollWait, clock) { since, wait -> poll(kind, since, wait) }.events()

    private suspend fun poll(kind: ObjectKind, since: KindVersion?, wait: Duration): PollResult {
        if (since == null) {
            return submit("GET $kind", isWrite = false) {
                Request.Builder().url(it.at(kind)).build()
            }.toPollResult(kind)
        }
        // Long polls bypass the mailbox, because they would occupy its workers while they wait.
        var last: PollResult = PollResult.Failed("GET $kind: no base URL")
        for (base in baseUrls) {
            val url = base.at(kind).newBuilder()
                .addQueryParameter("since", since.value.toString())
                .addQueryParameter("waitSeconds", wait.inWholeSeconds.toString())
                .build()
            last = exchange.run(Request.Builder().url(url).build(), wait + settings.longPollGrace).toPollResult(kind)
            if (last !is PollResult.Failed) return last
        }
        return last
    }

    companion object {
        /** Largest value in bytes; the platform refuses larger ones. */
        const val MAX_VALUE_BYTES = 1_000_000

        /**
         * Starts a client in [scope]. [longPollWait] is the time that a long poll waits for a change, at least 1 s.
         * Returns one finding for each invalid base URL.
         */
        fun start(
            settings: PlatformClientSettings,
            scope: CoroutineScope,
            clock: MonotonicClock = MonotonicClock.system,
            longPollWait: () -> Duration = { 2.seconds },
        ): Checked<PlatformClient> {
            val parsed = settings.baseUrls.map { it to it.toHttpUrlOrNull() }
            val findings = parsed.filter { it.second == null }
                .map { Finding("baseUrls", "not an HTTP URL: ${it.first}") }
            return when {
                parsed.isEmpty() -> Checked.Invalid(listOf(Finding("baseUrls", "at least one base URL is required")))
                findings.isNotEmpty() -> Checked.Invalid(findings)
                else -> {
                    val baseUrls = parsed.mapNotNull { it.second }
                    Checked.Valid(PlatformClient(settings, baseUrls, scope, clock, longPollWait).start())
                }
            }
        }
    }
}

/** A call that is queued in the mailbox. */
private class PlatformCall(
    val name: String,
    val isWrite: Boolean,
    val since: Duration,
    val request: (HttpUrl) -> Request,
) {
    val reply = CompletableDeferred<ExchangeResult>()

    fun failUnsent(detail: String) {
        reply.complete(ExchangeResult.Failed(detail, sent = false))
    }
}

private fun ExchangeResult.canRetryAtNextUrl(isWrite: Boolean): Boolean = when (this) {
    is ExchangeResult.Failed -> !isWrite || !sent
    is ExchangeResult.Answer -> !isWrite && status >= SERVER_ERROR
}
