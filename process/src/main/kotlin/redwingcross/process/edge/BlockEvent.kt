package redwingcross.process.edge

import redwingcross.request.PromptPart
import redwingcross.request.RequestDigest
import redwingcross.request.RequestTrait

/** Names in the log of what happens to the block of a trait. */
internal enum class BlockEvent(private val ofPart: String, private val ofRequest: String) {
    BLOCKED("prompt_part_blocked", "request_digest_blocked"),
    REFUSED("prompt_part_refused", "request_digest_refused"),
    UNBLOCKED("prompt_part_unblocked", "request_digest_unblocked"),
    LIFTED("prompt_part_lifted", "request_digest_lifted"),
    ;

    fun of(trait: RequestTrait): String = when (trait) {
        is PromptPart -> ofPart
        is RequestDigest -> ofRequest
    }
}
