package redwingcross.gateway

import redwingcross.connection.caller.CallerAddress
import redwingcross.connection.caller.CallerAddresses
import redwingcross.process.gossip.PeerView

/** The ready gateways that callers may use; one that is stopping has left the list. */
internal fun callerAddresses(peers: PeerView): CallerAddresses = CallerAddresses(
    peers.readyGateways().mapNotNull { gateway ->
        gateway.caller?.let { CallerAddress(it.value, gateway.zone) }
    },
)
