package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.slot.SlotRequest

/** Whether [load] leaves a slot of this gateway free. */
internal fun Candidate.hasSlot(load: ServerLoad): Boolean = load.requests < slots

/**
 * The server to send [request] to, or null if none has room: a ramping one if possible, because only these get warm by
 * the work, then the one that is used least, where another zone counts as used by [otherZonePenalty] already.
 */
internal fun chooseServer(
    candidates: List<Candidate>,
    request: SlotRequest,
    ownZone: AvailabilityZone?,
    otherZonePenalty: Double,
    load: (BackendServer) -> ServerLoad,
): Candidate? = candidates
    .filter { it.server !in request.excluded && it.hasSlot(load(it.server)) }
    .filter { load(it.server).heldBytes <= it.heldBytes - request.heldBytes }
    .minWithOrNull(
        compareBy<Candidate> { !it.isRamping }
            .thenBy {
                val penalty = if (it.zone == ownZone) 0.0 else otherZonePenalty
                load(it.server).requests.toDouble() / it.slots + penalty
            }
            .thenBy { it.position }
            .thenBy { it.server.value },
    )
