package redwingcross.request

/** One [attempt] of a caller, and the [traits] that it shares with other requests or with its repeats. */
data class RequestIdentity(val attempt: AttemptId, val traits: Set<RequestTrait>)
