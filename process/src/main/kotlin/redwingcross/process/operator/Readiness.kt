package redwingcross.process.operator

/** Whether a process may be given work; [detail] says why not, or what it does without. */
data class Readiness(val ready: Boolean, val detail: String)

/** Asks a process for its readiness; answers from a snapshot and never waits. */
typealias ReadReadiness = () -> Readiness
