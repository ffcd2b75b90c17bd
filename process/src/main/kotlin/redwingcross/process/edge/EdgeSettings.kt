package redwingcross.process.edge

import redwingcross.process.usage.UsageSettings
import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.request.forward.RetryBudgetLimits
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** Settings of an edge process, as read from its settings file. */
data class EdgeSettings(
    val node: ProcessName,
    /** IP address that the process listens on. */
    val ip: String,
    val zone: AvailabilityZone,
    /** Endpoint for requests from callers. */
    val callers: Endpoint,
    /** Endpoint for the platform's readiness probe. */
    val readiness: Endpoint,
    /** Endpoint for address lookups by callers; null if this process does not serve them. */
    val directory: Endpoint?,
    /** Ports that are reserved for traffic between the system's processes, first and last included. */
    val internalPorts: IntRange,
    /** Endpoint of the platform's store. */
    val store: Endpoint,
    val bounds: EdgeBounds,
    /** Processor time a second that the VM has, in cores; 0 if the settings don't state it. */
    val processors: Double = 0.0,
    /** Whether the whole system starts for the first time. */
    val isFirstStart: Boolean = false,
    val features: EdgeFeatures = EdgeFeatures(),
    /** Null unless the file has a `cloud` section. */
    val usage: UsageSettings? = null,
)

/** Limits that the operator configures; they apply without a restart. The log contains its `toString`. */
data class EdgeBounds(
    /** Maximum time from the report that a back end is draining until no new request is sent to it. */
    val drain: Duration,
    /** Time from SIGTERM until the platform kills the process. */
    val stopGrace: Duration,
    val retryBudget: RetryBudgetLimits,
    /** Factor on the configured request rate of a cold back end; the product plus [coldSlack] is the limit. */
    val coldOverrun: Double,
    /** Requests per second that are added to the limit of a cold back end. */
    val coldSlack: Double,
    /** Upper limit of the time for which callers may cache a list of addresses. */
    val maximumListLifetime: Duration,
    /** Maximum time from the acknowledgement of a configuration until it is in force everywhere. */
    val configurationApply: Duration,
)
