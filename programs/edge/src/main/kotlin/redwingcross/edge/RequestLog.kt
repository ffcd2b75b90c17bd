package redwingcross.edge

import redwingcross.process.edge.EventLog
import redwingcross.version.forwarding.ForwardOutcome

/** Logs the end of a forwarded request; times are in milliseconds. */
internal fun EventLog.requestFinished(outcome: ForwardOutcome): Unit = info(
    "request_finished",
    arrayOf(
        "attempt" to outcome.job.request.attempt,
        "route" to outcome.job.route.name,
        "outcome" to outcome.outcome,
        "reason" to outcome.reason,
        "sends" to outcome.sends,
        "first" to outcome.firstEvent?.inWholeMilliseconds,
        "waited" to outcome.waited.inWholeMilliseconds,
        "total" to outcome.total.inWholeMilliseconds,
    ),
)
