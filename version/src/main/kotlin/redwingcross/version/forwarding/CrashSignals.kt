package redwingcross.version.forwarding

import redwingcross.request.PromptPart
import redwingcross.request.forward.InboundRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What requests ask and report about parts of prompts that end engines. All functions run on the event loop. */
class CrashSignals(
    /** Whether the prompt of a request has a part that no engine may receive. */
    val isBlocked: (InboundRequest) -> Boolean,
    /** Whether one of the parts is suspected because of the end of another engine than the given one. */
    val isSuspect: (List<PromptPart>, ChosenBackend) -> Boolean,
    /** Called with the shared parts of a request that an engine began to answer. */
    val answerBegan: (List<PromptPart>) -> Unit,
    /**
     * Called when the connection of a request to a back end ended, or when the group that the request is at has lost a
     * member; once for both. The flag is true if an answer had begun there.
     */
    val connectionLost: (ChosenBackend, InboundRequest, Boolean) -> Unit,
) {
    companion object {
        /** Longer than callers retry: a block lasts for minutes, so an earlier retry would be refused. */
        val BLOCKED_RETRY_DELAY: Duration = 30.seconds
    }
}
