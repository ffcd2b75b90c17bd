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
 * The platform's store over HTTP. Its tasks live in [scope]; when that ends, waiting calls are answered and every
 * connection is closed.
 *
 * A call is sent at most once to each base URL, and a write only once in all unless no byte of it can have been sent.
 */
class PlatformClient private constructor(
    private val settings: PlatformClientSettings,
    private val baseUrls: List<HttpUrl>,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val watchWait: () -> Duration,
) {
    private val exchange = PlatformExchange(settings)
    private val mailbox = Channel<PlatformCall>(settings.waitingCallers) { it.answerUnsent("the client is closed") }

    /** The calls of this client. The watch asks for [watchWait] anew before each long poll. */
    val store = PlatformStore(::read, ::list, ::write, ::watch)

    private fun start(): PlatformClient = apply {
        repeat(settings.concurrentCalls) { scope.launch { work() } }
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
                    call.answerUnsent("${call.name}: waited longer than ${settings.callTimeout}")
                } else {
                    preferred = perform(call, preferred)
                }
            } catch (cancelled: CancellationException) {
                call.reply.complete(ExchangeResult.Failed("${call.name}: the client is closed", sent = true))
                throw cancelled
            }
        }
    }

    /** Returns the index of the base URL that answered. */
    private suspend fun perform(call: PlatformCall, preferred: Int): Int {
        var last: ExchangeResult = ExchangeResult.Failed("${call.name}: no base URL", sent = false)
        for (offset in baseUrls.indices) {
            val index = (preferred + offset) % baseUrls.size
            last = exchange.run(call.request(baseUrls[index]), settings.callTimeout)
            if (!last.mayTryElsewhere(call.isWrite)) {
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
        if (accepted.isClosed) call.answerUnsent("$name: the client is closed")
        if (accepted.isFailure) call.answerUnsent("$name: ${settings.waitingCallers} callers are waiting")
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
                else -> PlatformResult.Unavailable("GET $key: status ${result.status}")
            }
        }

    private suspend fun list(kind: ObjectKind): PlatformResult<List<StoredObject>> =
        submit("GET $kind", isWrite = false) { Request.Builder().url(it.at(kind)).build() }
            .listed(kind)
            .map { listed -> listed.objects.mapNotNull { it.stored() } }

    private suspend fun write(write: ConditionalWrite): PlatformResult<WriteAnswer> {
        val bytes = (write as? ConditionalWrite.Put)?.value?.toString().orEmpty().encodeToByteArray()
        if (bytes.size > MAX_VALUE_BYTES) {
            return PlatformResult.Unavailable("PUT ${write.key}: ${bytes.size} bytes exceed $MAX_VALUE_BYTES")
        }
        return submit("write ${write.key}", isWrite = true) { write.toRequest(it, bytes) }.writeAnswer(write.key)
    }

    private fun watch(kind: ObjectKind) =
        PlatformWatch(kind, watchWait, clock) { since, wait -> poll(kind, since, wait) }.events()

    private suspend fun poll(kind: ObjectKind, since: KindVersion?, wait: Duration): PollResult {
        if (since == null) {
            return submit("GET $kind", isWrite = false) { Request.Builder().url(it.at(kind)).build() }.polled(kind)
        }
        // Waiting polls bypass the mailbox, because they would occupy its tasks.
        var last: PollResult = PollResult.Failed("GET $kind: no base URL")
        for (base in baseUrls) {
            val url = base.at(kind).newBuilder()
                .addQueryParameter("since", since.value.toString())
                .addQueryParameter("waitSeconds", wait.inWholeSeconds.toString())
                .build()
            last = exchange.run(Request.Builder().url(url).build(), wait + settings.watchSilence).polled(kind)
            if (last !is PollResult.Failed) return last
        }
        return last
    }

    companion object {
        /** The platform refuses larger values. */
        const val MAX_VALUE_BYTES = 1_000_000

        /**
         * Starts a client in [scope]. [watchWait] is the waiting time of a long poll, at least 1 s. Invalid base URLs
         * are reported together.
         */
        fun start(
            settings: PlatformClientSettings,
            scope: CoroutineScope,
            clock: MonotonicClock = MonotonicClock.system,
            watchWait: () -> Duration = { 2.seconds },
        ): Checked<PlatformClient> {
            val parsed = settings.baseUrls.map { it to it.toHttpUrlOrNull() }
            val findings = parsed.filter { it.second == null }
                .map { Finding("baseUrls", "not an HTTP URL: ${it.first}") }
            return when {
                parsed.isEmpty() -> Checked.Invalid(listOf(Finding("baseUrls", "no base URL")))
                findings.isNotEmpty() -> Checked.Invalid(findings)
                else -> {
                    val baseUrls = parsed.mapNotNull { it.second }
                    Checked.Valid(PlatformClient(settings, baseUrls, scope, clock, watchWait).start())
                }
            }
        }
    }
}

/** One call that waits for its turn. */
private class PlatformCall(
    val name: String,
    val isWrite: Boolean,
    val since: Duration,
    val request: (HttpUrl) -> Request,
) {
    val reply = CompletableDeferred<ExchangeResult>()

    fun answerUnsent(detail: String) {
        reply.complete(ExchangeResult.Failed(detail, sent = false))
    }
}

private fun ExchangeResult.mayTryElsewhere(isWrite: Boolean): Boolean = when (this) {
    is ExchangeResult.Failed -> !isWrite || !sent
    is ExchangeResult.Answer -> !isWrite && status >= SERVER_ERROR
}
