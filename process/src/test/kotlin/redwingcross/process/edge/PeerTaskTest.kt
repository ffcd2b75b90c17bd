package redwingcross.process.edge

import redwingcross.request.MonotonicClock
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PeerTaskTest {
    private fun record(node: String, start: Long = 1) = GatewayRecord(node, start, "10.0.0.1", 7340, "10.0.0.1:80", "a")

    private fun beat(node: String, sequence: Long) =
        Beat(record(node), sequence, ready = true, leaving = false, trafficSeen = false, emptyMap(), emptyMap())

    private var now = Duration.ZERO
    private val sent = mutableListOf<InetSocketAddress>()
    private val registryCalls = mutableListOf<String>()

    private val task = PeerTask(
        record("self"),
        PeerLinks(
            send = { address, _ -> sent += address },
            beat = { beat("self", 0) },
            register = { registryCalls += "register" },
            listRegistry = { mayBeOld -> registryCalls += if (mayBeOld) "list_old" else "list" },
            onLoad = { _, _ -> },
            onTraffic = {},
            onFollowed = {},
            onGroups = {},
            onSuspicion = {},
            onLease = {},
        ),
        MonotonicClock { now },
        Random(1),
    ) { _, _ -> }

    private fun runFor(time: Duration, each: () -> Unit = {}) {
        val end = now + time
        while (now < end) {
            now += 250.milliseconds
            each()
            task.handle(PeerTaskMessage.Tick)
        }
    }

    private fun hear(node: String, sequence: Long) {
        task.handle(PeerTaskMessage.Received(PeerCodec.encode(beat(node, sequence))))
    }

    private fun listed(vararg nodes: String) {
        task.handle(PeerTaskMessage.Registry(RegistryResult.Listed(nodes.map { record(it) }, isCurrent = true)))
    }

    @Test
    fun `a process that was cut off until it forgot the others finds them in the registry again`() {
        task.handle(PeerTaskMessage.Registry(RegistryResult.Registered))
        listed("self", "a")
        hear("a", 1)
        runFor(12.seconds)
        assertEquals(1, task.place.count, "the other process is forgotten")
        registryCalls.clear()
        runFor(2.seconds)
        assertTrue("list" in registryCalls)
        listed("self", "a")
        assertEquals(2, task.place.count)
    }

    @Test
    fun `two processes that forgot each other meet again although both hear a third`() {
        task.handle(PeerTaskMessage.Registry(RegistryResult.Registered))
        listed("self", "a", "b")
        registryCalls.clear()
        var sequence = 0L
        runFor(30.seconds) { hear("b", ++sequence) }
        assertTrue("list_old" in registryCalls, "$registryCalls")
        assertTrue(registryCalls.size <= 2, "a registry that is read often costs more than it helps: $registryCalls")
    }

    @Test
    fun `a process whose entry is gone from the registry registers again`() {
        task.handle(PeerTaskMessage.Registry(RegistryResult.Registered))
        listed("a")
        hear("a", 1)
        registryCalls.clear()
        runFor(2.seconds)
        assertTrue("register" in registryCalls)
    }
}
