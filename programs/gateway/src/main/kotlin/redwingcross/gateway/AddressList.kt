package redwingcross.gateway

import redwingcross.connection.caller.CallerAddress
import redwingcross.connection.caller.CallerAddresses
import redwingcross.process.gossip.PeerView

/** Addresses of the gateways that are announced as ready, for callers. A gateway that is shutting down is absent. */
internal fun callerAddresses(peers: PeerView): CallerAddresses = CallerAddresses(
    peers.readyGateways().mapNotNull { gateway ->
        gateway.caller?.let { CallerAddress(it.value, gateway.zone) }
    },
)
