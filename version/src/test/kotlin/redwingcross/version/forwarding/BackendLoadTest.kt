package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import redwingcross.request.ProcessName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against requests that are counted twice or not removed when a gateway updates its counts or leaves. */
class BackendLoadTest {
    private val servers = List(5) { BackendServer("s$it") }

    @Test
    fun `the load of a server is the sum of the counts last reported by each gateway`() {
        val random = Random(7)
        val load = BackendLoad()
        val reported = HashMap<ProcessName, Map<BackendServer, Int>>()
        repeat(500) {
            val gateway = ProcessName("g${random.nextInt(6)}")
            val counts = servers.filter { random.nextBoolean() }.associateWith { random.nextInt(1, 9) }
            val isGone = random.nextInt(5) == 0
            load.updateReported(gateway, counts.takeUnless { isGone })
            if (isGone) reported.remove(gateway) else reported[gateway] = counts
            for (server in servers) assertEquals(reported.values.sumOf { it[server] ?: 0 }, load.total(server))
        }
    }

    @Test
    fun `the gateway's own requests count until each has ended`() {
        val load = BackendLoad()
        repeat(2) { load.requestStarted(servers[0]) }
        load.requestEnded(servers[0])
        assertEquals(1, load.total(servers[0]))
        load.requestEnded(servers[0])
        assertEquals(emptyMap(), load.ownCounts)
    }
}
