package redwingcross.process.operator

/** Whether a process accepts new work. [detail] is the reason if it does not, or names an unavailable dependency. */
data class Readiness(val ready: Boolean, val detail: String)

/** Reads the readiness of a process from a snapshot, without waiting. */
typealias ReadReadiness = () -> Readiness
