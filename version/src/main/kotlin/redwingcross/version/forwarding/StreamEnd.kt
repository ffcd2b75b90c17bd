package redwingcross.version.forwarding

/** What the orderly end of a back end's event stream means. */
internal enum class StreamEnd {
    /** The back end has sent the whole stream. */
    COMPLETE,

    /** The response ended in order, but inside an event. */
    CUT_OFF,

    /** The connection may have closed because the back end itself ended. */
    CONNECTION_LOST,

    ;

    companion object {
        /**
         * Classifies the end of a stream whose response was not reset and not cut off inside its framing.
         *
         * [isDelimitedByClose] tells that only the close of the connection ended the response, [endsInsideEvent] that
         * an event is incomplete, [hasEvents] that the response had an event, and [isResumed] that the caller has
         * earlier events, so that there may be none to add.
         */
        fun of(isDelimitedByClose: Boolean, endsInsideEvent: Boolean, hasEvents: Boolean, isResumed: Boolean) = when {
            endsInsideEvent -> if (isDelimitedByClose) CONNECTION_LOST else CUT_OFF
            hasEvents || isResumed -> COMPLETE
            // A back end that ends before its first event closes its connection in the same way.
            isDelimitedByClose -> CONNECTION_LOST
            else -> COMPLETE
        }
    }
}
