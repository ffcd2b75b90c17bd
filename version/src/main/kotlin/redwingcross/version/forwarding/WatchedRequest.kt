package redwingcross.version.forwarding

import redwingcross.request.GroupId
import redwingcross.request.RequestIdentity
import redwingcross.request.forward.OfferResult
import kotlin.time.Duration

/** What the checks of progress need of a request that is forwarded. */
interface WatchedRequest {
    val identity: RequestIdentity

    /** Whether the answer is a stream of events. */
    val isStream: Boolean

    /** The back end to which the request is currently sent; null without a current offer. */
    val backend: ChosenBackend?

    /** The group to which the request is currently sent; null for a plain service or without a current offer. */
    val group: GroupId? get() = backend?.group

    /** When the current back end last sent an event or was read from again, or when the request was sent to it. */
    val progressAt: Duration

    /** Whether the current back end has sent at least one event. */
    val hasProgressed: Boolean

    /**
     * Moves the request to another back end because its own is silent, without a confirmed fault. It leaves only if the
     * retry budget has a retry and another back end has a place for it; otherwise it stays, because a back end that is
     * silent may go on. [onMoved] is called before it leaves. [end] is [OfferResult.GroupLost] if the request itself
     * may have ended an engine of the group.
     */
    fun moveSilent(end: OfferResult, detail: String, onMoved: () -> Unit = {})
}
