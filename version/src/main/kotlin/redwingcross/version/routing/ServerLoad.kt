package redwingcross.version.routing

import redwingcross.request.slot.SlotRequest

/** Requests of this gateway in flight at one server, and their total size in bytes. */
data class ServerLoad(val requests: Int = 0, val heldBytes: Long = 0) {
    operator fun plus(request: SlotRequest): ServerLoad = ServerLoad(requests + 1, heldBytes + request.heldBytes)

    operator fun minus(request: SlotRequest): ServerLoad = ServerLoad(requests - 1, heldBytes - request.heldBytes)
}
