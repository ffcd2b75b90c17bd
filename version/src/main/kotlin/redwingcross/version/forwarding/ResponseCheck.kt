package redwingcross.version.forwarding

import redwingcross.connection.http.ResponseHead
import redwingcross.request.forward.ForwardState
import redwingcross.request.forward.OfferResult
import redwingcross.request.stream.EventBatch

/** Why a response can't be used, and how the offer that it belongs to ends. */
internal data class ResponseRejection(val result: OfferResult, val detail: String)

/** Decides whether the response of a back end may be passed on to the caller. */
internal object ResponseCheck {
    private val SUCCESS = 200..299

    fun isSuccess(head: ResponseHead): Boolean = head.status in SUCCESS

    /**
     * Whether the response of a plain service shows that the back end ran the request: it is certainly this request's,
     * comes from the back end, and doesn't state that the request was not run.
     */
    fun showsRun(head: ResponseHead, metadata: ResponseMetadata): Boolean = metadata.isIdentified &&
        !metadata.declined &&
        !metadata.misdirected &&
        (metadata.signed || !isSuccess(head))

    /**
     * Checks the head of a response. [begunHead] is the head of the response whose stream was begun to the caller; null
     * if none was begun.
     */
    fun ofHead(
        head: ResponseHead,
        metadata: ResponseMetadata,
        state: ForwardState,
        begunHead: ResponseHead?,
    ): ResponseRejection? = when {
        !metadata.isIdentified -> lost("response_without_id")
        metadata.misdirected -> ResponseRejection(OfferResult.Declined, "misdirected")
        metadata.declined -> ResponseRejection(OfferResult.Declined, "declined")
        metadata.encoded || !metadata.signed && isSuccess(head) -> lost("not_the_back_ends_answer")
        else -> ofStatus(head, metadata, state) ?: ofContinuation(head, begunHead)
    }

    private fun ofStatus(head: ResponseHead, metadata: ResponseMetadata, state: ForwardState): ResponseRejection? =
        when {
            isSuccess(head) -> null
            // The caller already has the head of another answer, so this one can't be passed on.
            state.answerStarted -> lost("status_${head.status}_in_stream")
            // Callers repeat such a request, although the back end doesn't state that it was not run.
            metadata.promisesNotRun && !state.limits.repeatability.isRepeatable ->
                lost("status_${head.status}_without_promise")
            else -> null
        }

    private fun ofContinuation(head: ResponseHead, begunHead: ResponseHead?): ResponseRejection? {
        val continues = begunHead == null || head.status == begunHead.status && head.mediaType == begunHead.mediaType
        return if (continues) null else lost("other_response_in_stream")
    }

    /**
     * Checks events of a stream of which the caller has the events up to [lastEventId]. [isFirst] is true for the first
     * events of an offer.
     */
    fun ofEvents(batch: EventBatch, lastEventId: Long?, isFirst: Boolean): ResponseRejection? {
        val first = batch.firstId
        return when {
            lastEventId == null -> null
            first != null && first != lastEventId + 1 -> lost("event_$first after_$lastEventId")
            isFirst && !batch.startsWithId -> lost("event_without_id after_$lastEventId")
            else -> null
        }
    }

    private fun lost(detail: String) = ResponseRejection(OfferResult.Lost, detail)
}
