package redwingcross.bench.replay

import redwingcross.version.forwarding.GroupCandidate
import redwingcross.version.forwarding.GroupPlacement

/** A request that needs a group. */
internal class ReplayedPlacement(
    /** Identifies the request, also when it is placed again. */
    val task: Any,
    val gateway: Int,
    /** Group that rejected the request; -1 if none did. */
    val excluded: Int,
    /** Whether the request waits already and a place may have come free. */
    val isWaiting: Boolean,
    /** Receives the group, or -1 if there is no place; false if the request has ended meanwhile. */
    val placed: (group: Int) -> Boolean,
)

/** A way to place requests in a replay. */
internal class ReplayedWay(
    val place: (ReplayedPlacement) -> Unit,
    /** Called when a request of a gateway is no longer at a group. */
    val freed: (gateway: Int) -> Unit = {},
    /** Called when a waiting request is refused. */
    val refused: (gateway: Int, task: Any) -> Unit = { _, _ -> },
) {
    companion object {
        /** A way in which each gateway decides at once from what it knows. */
        fun of(replay: PlacementReplay, choose: Choose) = ReplayedWay({ request ->
            request.placed(chooseLocally(replay, choose, request.gateway, request.excluded))
        })

        /** The group that a gateway chooses by itself. */
        fun chooseLocally(replay: PlacementReplay, choose: Choose, gateway: Int, excluded: Int): Int {
            val known = replay.known(gateway)
            if (excluded >= 0) known[excluded] = PlacementReplay.UNUSABLE
            return choose(known, replay.random)
        }

        /** The decision of the product without an owner of the places. */
        fun placement(load: ReplayedLoad): Choose = { known, random ->
            val candidates = known.indices.filter {
                known[it] < load.slots * load.groupLimit
            }.map { GroupCandidate(it, known[it], 1.0) }
            GroupPlacement.choose(candidates, load.slots, load.gateways, random)?.group ?: -1
        }
    }
}
