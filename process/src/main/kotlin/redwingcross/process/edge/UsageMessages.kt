@file:OptIn(ExperimentalSerializationApi::class)

package redwingcross.process.edge

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import redwingcross.process.usage.CountingProcess
import redwingcross.process.usage.CountsByWindow
import redwingcross.process.usage.ReportedCounts
import redwingcross.process.usage.UsageWindow
import redwingcross.request.Customer

/** The clocks of the sender of a heartbeat. */
@Serializable
@CborArray
data class ProcessClock(
    /** Its wall clock, in Unix milliseconds. */
    val unixMillis: Long,
    /** Time for which it has counted requests, by its monotonic clock. */
    val countingMillis: Long,
)

/** Requests of one window by customer, cumulative since the start of the sender. */
@Serializable
@CborArray
data class WindowCounts(val window: Long, val counts: Map<String, Int>)

/**
 * Counts of a gateway that changed, for the holder of the controller lease and the process that is next in line for it.
 */
@Serializable
@SerialName("usage")
data class UsageCounts(override val sender: GatewayRecord, val windows: List<WindowCounts>) : PeerMessage {
    fun toReported(): ReportedCounts = ReportedCounts(
        CountingProcess(sender.node, sender.start),
        windows.associate { (window, counts) -> UsageWindow(window) to counts.mapKeys { Customer(it.key) } },
    )

    companion object {
        fun of(sender: GatewayRecord, windows: CountsByWindow): UsageCounts = UsageCounts(
            sender,
            windows.map { (window, counts) -> WindowCounts(window.number, counts.mapKeys { it.key.value }) },
        )
    }
}

/** What [PeerTask] passes to the usage reports and asks of them. */
class UsageReception(
    /** Called with the clock of another process. */
    val onClock: (GatewayRecord, ProcessClock) -> Unit,
    /** Called with the true time that the active controller announced, in Unix milliseconds. */
    val onFleetMillis: (Long) -> Unit,
    val onCounts: (UsageCounts) -> Unit,
    /** True time in Unix milliseconds, for digests; null if it is not known. */
    val fleetMillis: () -> Long?,
) {
    companion object {
        /** For a process that doesn't report usage: ignores everything. */
        val none = UsageReception({ _, _ -> }, {}, {}, { null })
    }
}
