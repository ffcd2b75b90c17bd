package redwingcross.request

/** What became of a request, as far as it can be proved. */
sealed interface Outcome<out Answer> {
    /** The back end ran the request and its whole [answer] arrived. */
    data class Completed<Answer>(val answer: Answer) : Outcome<Answer>

    /** No byte of the request can have reached a back end. */
    data class NotRun(val reason: NotRunReason) : Outcome<Nothing>

    /** The request may have run; it must never be reported as not run. */
    data class Unknown(val detail: String) : Outcome<Nothing>
}

/** Why a request was refused before any byte of it reached a back end. */
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
