package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.slot.SlotRequest

/** Whether this gateway has a free slot at the server under [load]. */
internal fun Candidate.hasSlot(load: ServerLoad): Boolean = load.requests < slots

/**
 * Returns the server for [request], or null if none has a free slot and enough bytes left. Prefers servers that are
 * ramping up, because they become warm only by serving requests, then the server with the lowest utilization, to which
 * [otherZonePenalty] is added for servers outside [ownZone].
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
