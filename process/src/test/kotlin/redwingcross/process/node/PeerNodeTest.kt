package redwingcross.process.node

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import redwingcross.process.gossip.PeerHandlers
import redwingcross.process.membership.Member
import redwingcross.process.membership.ProcessRole
import redwingcross.process.membership.StartId
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a process that serves callers but that neither peers nor operators can reach. */
class PeerNodeTest {
    @Test
    fun `a process whose peer port is in use at its start listens once the port is free`() =
        runBlocking(Dispatchers.Default) {
            withTimeout(30.seconds) {
                coroutineScope {
                    val occupant = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
                    val endpoint = Endpoint("127.0.0.1:${occupant.localPort}")
                    val node = node("gateway-1", endpoint)
                    val client = node("gateway-2", Endpoint("127.0.0.1:0"))
                    launch { node.run() }
                    launch { client.run() }
                    delay(300.milliseconds)
                    occupant.close()

                    while (client.requestControlState(endpoint) == null) delay(50.milliseconds)

                    currentCoroutineContext().cancelChildren()
                }
            }
        }

    private fun node(name: String, endpoint: Endpoint) = PeerNode(
        Member(
            ProcessName(name),
            ProcessRole.GATEWAY,
            AvailabilityZone("ub-a"),
            endpoint,
            Endpoint("127.0.0.1:8080"),
            StartId(name.hashCode().toLong()),
            MonotonicClock.system.now(),
        ),
        emptyList(),
        PeerHandlers(),
    )
}
