package redwingcross.edge

import redwingcross.process.edge.PeerTask
import redwingcross.process.edge.PlaceCodec
import redwingcross.process.edge.PlaceNetwork
import redwingcross.process.edge.PlaceResult
import redwingcross.version.places.GatewayStart

/** Connects the places of a process with the other processes. [ownEpoch] is null unless it is the active controller. */
internal fun placeNetwork(
    self: GatewayStart,
    ownEpoch: () -> Long?,
    peers: () -> PeerTask,
    count: (PlaceResult) -> Unit,
) = PlaceNetwork(
    self = self,
    ownerEpoch = { ownEpoch() ?: peers().newestLeaseEpoch() },
    ownEpoch = ownEpoch,
    fleetSize = { peers().gatewayShare.count },
    sendToOwner = { report -> peers().activeController()?.let { peers().send(it, PlaceCodec.encode(report)) } },
    sendToGateway = { node, answer ->
        peers().peersByNode[node.value]?.let { peers().send(it.record, PlaceCodec.encode(answer)) }
    },
    count = count,
)

private fun PeerTask.newestLeaseEpoch(): Long? =
    alivePeers().mapNotNull { it.heartbeat?.controllerLease?.record?.epoch?.value }.maxOrNull()
