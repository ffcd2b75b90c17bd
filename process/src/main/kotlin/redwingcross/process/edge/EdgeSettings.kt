package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.request.forward.RetryBudgetLimits
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** What an edge process learns from its settings file. */
data class EdgeSettings(
    val node: ProcessName,
    val ip: String,
    val zone: AvailabilityZone,
    /** Where callers connect. */
    val callers: Endpoint,
    /** Where the platform asks whether the process is ready. */
    val readiness: Endpoint,
    /** Where callers ask for addresses; null if this process doesn't answer them. */
    val directory: Endpoint?,
    /** First and last port that are free for traffic between the system's processes. */
    val internalPorts: IntRange,
    /** The platform's store. */
    val store: Endpoint,
    val bounds: EdgeBounds,
)

/** The times and amounts within which the promises to the operator hold. */
data class EdgeBounds(
    /** From the report that a back end leaves until it gets no new work. */
    val drain: Duration,
    /** From SIGTERM until the process is killed. */
    val stopGrace: Duration,
    val retryBudget: RetryBudgetLimits,
    /** Factor and surplus on the request rate that a cold back end tolerates. */
    val coldOverrun: Double,
    val coldSlack: Double,
    /** Longest time that callers are asked to keep a list of addresses. */
    val maximumListLifetime: Duration,
)
