package redwingcross.request

/** Outcome of a request, as far as this process can prove it. */
sealed interface Outcome<out Answer> {
    /** The back end ran the request and the complete [answer] was received. */
    data class Completed<Answer>(val answer: Answer) : Outcome<Answer>

    /** The request did not run: no byte of it can have reached a back end. */
    data class NotRun(val reason: NotRunReason) : Outcome<Nothing>

    /** The request may have run, so it must not be reported as [NotRun]. */
    data class Unknown(val detail: String) : Outcome<Nothing>
}

/** Reason why a request was refused before any byte of it reached a back end. */
enum class NotRunReason {
    INVALID_REQUEST,
    QUEUE_FULL,
    DEADLINE_EXCEEDED,
    NO_BACKEND_SERVER,
    STALE_VIEW,
    PLATFORM_UNAVAILABLE,
    CONNECT_FAILED,
    SHUTTING_DOWN,
}
