package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.request.forward.RetryBudgetTerms
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** What an edge process learns from its settings file. */
data class EdgeSettings(
    val node: ProcessName,
    val ip: String,
    val zone: AvailabilityZone,
    val region: String,
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
    val storeRates: StoreRates,
    /** Descriptors that the process may hold. */
    val maximumDescriptors: Int,
    val memoryMegabytes: Int,
    /** How often engines write their entries. */
    val heartbeat: Duration,
    val bounds: EdgeBounds,
)

/** Calls that all nodes together may make to the store. */
data class StoreRates(val writesPerSecond: Double, val readsPerSecond: Double)

/** The times and amounts within which the promises to the operator hold. */
data class EdgeBounds(
    /** From the report that a back end leaves until it gets no new work. */
    val drain: Duration,
    /** From SIGTERM until the process is killed. */
    val stopGrace: Duration,
    /** From a new configuration until it is in force. */
    val configurationApply: Duration,
    val retryBudget: RetryBudgetTerms,
    /** Factor and surplus on the request rate that a cold back end tolerates. */
    val coldOverrun: Double,
    val coldSlack: Double,
    /** From a change until a zone that is taken out gets nothing. */
    val evacuation: Duration,
    /** Time after which work that depends on a dead engine is cut off. */
    val stall: Duration,
    /** Longest time that callers are asked to keep a list of addresses. */
    val maximumListLifetime: Duration,
    /** Time without disturbance after which the bounds hold. */
    val stableWindow: Duration,
)
