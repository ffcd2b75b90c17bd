package redwingcross.request

/**
 * What requests can have in common and the end of an engine can be attributed to: a part of a prompt, or all that a
 * request shares with its repeats.
 */
sealed interface RequestTrait {
    /** Unique among the traits of all kinds. */
    val id: String

    companion object {
        /** Returns the trait with the given [RequestTrait.id]. */
        fun of(id: String): RequestTrait =
            if (id.startsWith(RequestDigest.PREFIX)) RequestDigest(id) else PromptPart(id)
    }
}

/** Identifies a part of a prompt. Requests whose prompts begin alike share parts; the last part is a request's own. */
@JvmInline
value class PromptPart(override val id: String) : RequestTrait
