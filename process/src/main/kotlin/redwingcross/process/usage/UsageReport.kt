package redwingcross.process.usage

import redwingcross.request.Customer

/** The content of the report of one window; never differs between two sends. */
data class UsageReport(val window: UsageWindow, val counts: Map<Customer, Int>) {
    val total: Int get() = counts.values.sum()
}

/** A report as the store has it. */
data class StoredReport(
    val report: UsageReport,
    /** Every report of an earlier window than this one was acknowledged when the report was stored. */
    val settledBefore: UsageWindow,
)
