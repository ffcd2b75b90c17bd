package redwingcross.controller

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName

/** Settings of one controller process. */
data class ControllerSettings(
    val name: ProcessName,
    val zone: AvailabilityZone,
    /** Where other processes of the system reach this one, `address:port`. */
    val peerAddress: String,
    /** Where operators read health, metrics and state, `address:port`. */
    val operatorAddress: String,
    val platformUrls: List<String>,
)
