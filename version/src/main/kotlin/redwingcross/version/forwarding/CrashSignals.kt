package redwingcross.version.forwarding

import redwingcross.request.RequestIdentity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What requests ask and report about traits that end engines. All functions run on the event loop. */
class CrashSignals(
    /** Why no engine may receive a request, [BLOCKED_PART] or [BLOCKED_REQUEST]; null if it may be sent. */
    val blockReason: (RequestIdentity) -> String?,
    /** Whether a request is blocked as a whole; unlike [blockReason] this is neither logged nor counted. */
    val isRequestBlocked: (RequestIdentity) -> Boolean,
    /** Whether a trait of a request is suspected because of the end of another engine than the given one. */
    val isSuspect: (RequestIdentity, ChosenBackend) -> Boolean,
    /** Called when an engine began to answer a request. */
    val answerBegan: (RequestIdentity) -> Unit,
    /**
     * Called when the connection of a request to a back end ended, or when the group that the request is at has lost a
     * member; once for both. The flag is true if an answer had begun there.
     */
    val connectionLost: (ChosenBackend, RequestIdentity, Boolean) -> Unit,
) {
    companion object {
        /** Reason of the end of a request whose prompt has a blocked part. */
        const val BLOCKED_PART = "blocked_prompt_part"

        /** Reason of the end of a request that is blocked as a whole: it repeats one that ended engines. */
        const val BLOCKED_REQUEST = "blocked_request"

        /** Longer than callers retry: a block lasts for minutes, so an earlier retry would be refused. */
        val BLOCKED_RETRY_DELAY: Duration = 30.seconds
    }
}
