package redwingcross.process.edge

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import redwingcross.process.crash.CrashEvidence
import redwingcross.process.crash.CrashReport
import redwingcross.process.crash.RequestReport
import redwingcross.request.BackendServer
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.routing.orderHash
import java.net.InetSocketAddress
import java.util.HexFormat
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against heartbeats whose number grows with the square of the fleet, and against processes that rely on digests
 * after the controller that sent them is gone.
 */
class FleetDigestTest {
    private val names = (1..94).map { "node-$it" }
    private val lease = HeldControllerLease(7, LeaseRecord(ProcessName("node-1"), LeaseEpoch(3), "n", 1.2.seconds))
    private var now = Duration.ZERO
    private val sent = mutableListOf<Pair<InetSocketAddress, PeerMessage>>()
    private val loads = mutableListOf<CompactCounts?>()
    private var ownLease: HeldControllerLease? = null
    private var evidence = CrashEvidence()
    private var fleetHealth: ByteArray? = null

    private fun record(node: String, start: Long = 1) =
        GatewayRecord(node, start, "10.0.0.1", 7000 + node.substringAfter('-').toInt(), "10.0.0.1:80", "a")

    private fun heartbeat(node: String, sequence: Long) =
        Heartbeat(record(node), sequence, ready = true, leaving = false)

    private fun task(self: String) = PeerTask(
        record(self),
        PeerDependencies(
            send = { address, bytes -> PeerCodec.decode(bytes)?.let { sent += address to it } },
            nextHeartbeat = { heartbeat(self, 0).copy(controllerLease = ownLease) },
            register = {},
            listRegistry = {},
            onLoad = { _, _ -> },
            onFleetLoad = { loads += it },
            fleetLoad = { (1..75).associate { BackendServer("e$it") to 9 } },
            onTrafficSeen = {},
            onWatchProgress = {},
            onGroupAnnouncement = {},
            onRoutesRequest = {},
            onRank = {},
            onSuspicion = {},
            onLease = {},
            crashEvidence = { evidence },
            onCrashEvidence = {},
            fleetHealth = { fleetHealth },
        ),
        MonotonicClock { now },
        Random(1),
    ) { _, _ -> }

    private fun PeerTask.receive(message: PeerMessage) = handle(PeerTaskMessage.Received(PeerCodec.encode(message)))

    private fun digest(sequence: Long, states: Map<String, Int>) = FleetDigest(
        record("node-1"),
        3,
        sequence,
        CompactCounts.of(states.mapKeys { record(it.key).incarnation }).toBytes(),
        CompactCounts.of(mapOf("e1" to 9)).toBytes(),
        trafficSeen = true,
        watchProgress = emptyMap(),
        controllerLease = lease,
    )

    private val allReady = names.associateWith { PeerState.READY.ordinal }

    /** A process that has heard all others once and is not next in line for the controller role. */
    private fun reportedProcess(): PeerTask {
        val self = names.drop(1).maxBy { orderHash(it) }
        val task = task(self)
        (names - self).forEach { task.receive(heartbeat(it, 1)) }
        task.handle(PeerTaskMessage.Tick)
        return task
    }

    @Test
    fun `a process that receives digests sends heartbeats to a few processes`() {
        val task = reportedProcess()
        task.receive(digest(1, allReady))
        sent.clear()
        task.handle(PeerTaskMessage.Tick)
        assertTrue(sent.size in 1..5, "${sent.size} heartbeats")
        repeat(3) { task.handle(PeerTaskMessage.Tick) }
        assertTrue(sent.size <= 8, "${sent.size} heartbeats a second")
        assertEquals(4, sent.count { it.first.port == 7001 }, "the controller hears each round")
        assertEquals(9, loads.last()?.get(CompactName.of("e1")))
    }

    @Test
    fun `without digests heartbeats go to all processes again`() {
        val task = reportedProcess()
        task.receive(digest(1, allReady))
        now += 2.4.seconds
        sent.clear()
        repeat(4) { task.handle(PeerTaskMessage.Tick) }
        assertEquals(93, sent.map { it.first }.distinct().size)
        assertNull(loads.last())
    }

    @Test
    fun `a process that the controller no longer hears is not listed for callers`() {
        val task = reportedProcess()
        task.receive(digest(1, allReady))
        val before = task.readyCallerEndpoints().size
        task.receive(digest(2, allReady + ("node-5" to PeerState.SILENT.ordinal)))
        assertEquals(before - 1, task.readyCallerEndpoints().size)
    }

    @Test
    fun `a process that announced its stop stays unlisted although a digest from before says otherwise`() {
        val task = reportedProcess()
        task.receive(heartbeat("node-5", 2).copy(leaving = true))
        val before = task.readyCallerEndpoints().size
        task.receive(digest(1, allReady))
        assertEquals(before, task.readyCallerEndpoints().size)
    }

    private val someEvidence =
        CrashEvidence(
            listOf("p1"),
            listOf(CrashReport("e1", 1, 100, listOf(RequestReport("a1", listOf(0))), emptyList())),
        )

    @Test
    fun `a controller that was cut off is told of crashes by a process next in line at its first digest`() {
        evidence = someEvidence
        val standby = task(names.drop(1).minBy { orderHash(it) })
        names.forEach { standby.receive(heartbeat(it, 1)) }
        standby.handle(PeerTaskMessage.Tick)
        standby.receive(digest(1, allReady))
        assertTrue(sent.none { it.second is CrashReports }, "it has missed nothing")
        now += 2.2.seconds
        standby.receive(digest(2, allReady))
        assertEquals(listOf(7001), sent.filter { it.second is CrashReports }.map { it.first.port })
    }

    @Test
    fun `a process that starts hears of blocked parts from the active controller of a fleet of any size`() {
        evidence = someEvidence
        for (size in listOf(3, 95)) {
            ownLease = null
            val standby = task("node-1")
            (2..size).forEach { standby.receive(heartbeat("node-$it", 1)) }
            assertTrue(sent.none { it.second is CrashReports }, "only the active controller answers")
            ownLease = lease
            val controller = task("node-1")
            (2..size).forEach { controller.receive(heartbeat("node-$it", 1)) }
            sent.clear()
            controller.receive(Heartbeat(record("node-3", start = 2), 1, ready = false, leaving = false))
            val answers = sent.filter { it.second is CrashReports }
            assertEquals(listOf(7003), answers.map { it.first.port }, "fleet of $size")
            assertEquals(someEvidence, answers.map { it.second }.filterIsInstance<CrashReports>().single().evidence)
            sent.clear()
        }
    }

    @Test
    fun `without ended engines nothing about them is sent`() {
        ownLease = lease
        val controller = task("node-1")
        (2..95).forEach { controller.receive(heartbeat("node-$it", 1)) }
        repeat(8) { controller.handle(PeerTaskMessage.Tick) }
        assertTrue(sent.none { it.second is CrashReports })
    }

    @Test
    fun `evidence of a gateway in a large fleet reaches the controller and the processes next in line`() {
        val task = reportedProcess()
        task.receive(digest(1, allReady))
        sent.clear()
        task.sendToObservers(CrashReports(record("node-90"), someEvidence))
        val receivers = sent.map { it.first.port }
        assertTrue(7001 in receivers, "the controller")
        assertTrue(receivers.size in 2..6, "$receivers")
    }

    @Test
    fun `evidence that names an unknown part is not decoded`() {
        val bytes = PeerCodec.encode(CrashReports(record("node-1"), someEvidence))
        assertEquals(CrashReports(record("node-1"), someEvidence), PeerCodec.decode(bytes))
        val attempt = "a1".encodeToByteArray()
        val afterAttempt = attempt.size + bytes.indices.first {
            bytes.copyOfRange(it, minOf(it + attempt.size, bytes.size)).contentEquals(attempt)
        }
        val part = (afterAttempt until bytes.size).first { bytes[it] == 0.toByte() }
        val changed = bytes.copyOf().also { it[part] = 1 }
        assertNull(PeerCodec.decode(changed), "the second of one part")
    }

    @Test
    fun `evidence with field names is not decoded`() {
        assertNotNull(PeerCodec.decode(evidenceMessage("83" + "81627031" + "80" + "80")))
        val named = "a3" + "657061727473" + "81627031" + "6763726173686573" + "80" + "656c69667473" + "80"
        assertNull(PeerCodec.decode(evidenceMessage(named)), "the format of earlier versions")
    }

    /** A [CrashReports] whose evidence is the CBOR item [evidence] in hexadecimal digits. */
    private fun evidenceMessage(evidence: String): ByteArray {
        val empty = PeerCodec.encode(CrashReports(record("node-1"), CrashEvidence()))
        val name = "evidence".encodeToByteArray()
        val end = name.size + empty.indices.last {
            empty.copyOfRange(it, minOf(it + name.size, empty.size)).contentEquals(name)
        }
        val closing = ByteArray(2) { 0xFF.toByte() }
        return empty.copyOf(end) + HexFormat.of().parseHex(evidence) + closing
    }

    @Test
    fun `a process that starts again hears of the controller from the answer to its first heartbeat`() {
        ownLease = lease
        val task = task("node-1")
        (2..95).forEach { task.receive(heartbeat("node-$it", 1)) }
        sent.clear()
        task.receive(heartbeat("node-5", 2))
        assertTrue(sent.isEmpty(), "a known process gets its next digest with all others")
        task.receive(Heartbeat(record("node-5", start = 2), 1, ready = false, leaving = false))
        assertEquals(listOf(7005), sent.filter { it.second is FleetDigest }.map { it.first.port })
    }

    @Test
    fun `the digest of a fleet of 350 processes and 75 groups stays within 3 KB a second`() {
        ownLease = lease
        fleetHealth = CompactCounts.of((1..75).associate { "e$it" to 30 }).toBytes()
        val task = task("node-1")
        (2..350).forEach { task.receive(heartbeat("node-$it", 1)) }
        sent.clear()
        repeat(4) {
            now += 250.milliseconds
            task.handle(PeerTaskMessage.Tick)
        }
        val digests = sent.filter { it.second is FleetDigest }
        val bytesPerSecond = digests.groupBy { it.first }.values.maxOf { perReceiver ->
            perReceiver.sumOf { PeerCodec.encode(it.second).size }
        }
        assertEquals(349, digests.map { it.first }.distinct().size)
        assertTrue(bytesPerSecond <= 3_000, "$bytesPerSecond bytes a second and process")
    }

    @Property(tries = 100, seed = "72")
    fun `counts are the same after encoding`(@ForAll seed: Int) {
        val random = Random(seed)
        val counts = (1..50).associate { "engine-$seed-$it" to random.nextInt(300) }
        val decoded = CompactCounts.of(CompactCounts.of(counts).toBytes())
        for ((name, count) in counts) {
            assertTrue(
                (decoded[CompactName.of(name)] ?: 0) >= count.coerceAtMost(255),
                "$name $count",
            )
        }
        assertNull(CompactCounts.of(byteArrayOf(1, 2))[CompactName.of("engine")])
    }
}
