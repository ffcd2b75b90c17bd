package redwingcross.process.edge

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import redwingcross.process.crash.CrashAttribution
import redwingcross.process.crash.CrashEvidence
import redwingcross.process.crash.CrashLedger
import redwingcross.process.crash.CrashReport
import redwingcross.process.crash.LiftReport
import redwingcross.process.crash.RequestReport
import redwingcross.process.usage.UsageSettings
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.placement.LeaseEpoch
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against messages of other senders that throw on the event loop of the process that receives them. */
class MalformedPeerMessageProperties {
    private val self = GatewayRecord("self", 1, "10.0.0.9", 7009, "10.0.0.9:80", "a")
    private val sender = GatewayRecord("n1", 1, "10.0.0.1", 7000, "10.0.0.1:80", "a")
    private val lease = HeldControllerLease(7, LeaseRecord(ProcessName("n1"), LeaseEpoch(3), "n", 1.2.seconds))
    private val progress = UpdateSource.entries.associateWith { WatchProgress(4, 5) }
    private var now = 10.seconds
    private var ledger = CrashLedger()
    private var validSenders = 0
    private val suspicions = mutableListOf<GroupId>()
    private val leases = mutableListOf<LeaseMessage>()
    private val watchLag = WatchLagDetector { 300.milliseconds }
    private var watchRestarts = 0
    private var claims = 0L
    private val logged = mutableListOf<String>()

    private val evidence = CrashEvidence(
        traits = listOf("p1", "p2"),
        crashes = listOf(CrashReport("e1", 1, 100, listOf(RequestReport("a1", listOf(0, 1))), listOf(1))),
        lifts = listOf(LiftReport("p2", 1, 50)),
    )

    /** One valid message of each type, with a value in each field. */
    private val messages = listOf(
        Heartbeat(
            sender,
            1,
            ready = true,
            leaving = false,
            trafficSeen = true,
            watchProgress = progress,
            load = mapOf("e1" to 9),
            controllerLease = lease,
            clock = ProcessClock(1_800_000_000_000, 5_000),
        ),
        FleetDigest(
            sender,
            3,
            1,
            CompactCounts.of(mapOf(sender.incarnation to PeerState.READY.ordinal)).toBytes(),
            CompactCounts.of(mapOf("e1" to 9)).toBytes(),
            trafficSeen = true,
            watchProgress = progress,
            controllerLease = lease,
            fleetMillis = 1_800_000_000_000,
        ),
        GroupAnnouncement(
            sender,
            leaseEpoch = 3,
            sequence = 1,
            base = 0,
            formerEpoch = 2,
            formerSequence = 8,
            service = "pool",
            lifetimeMillis = 3000,
            serving = listOf(AnnouncedGroup("m.3-1", 1, "e1")),
            removedGroups = listOf("m.2-1"),
            servers = listOf(
                AnnouncedServer("e1", "10.0.0.3:80", "a", 12, draining = false, coldMillis = 5, start = 1),
            ),
            removedServers = listOf("e2"),
            lost = listOf("m.2-2"),
        ),
        RoutesRequest(sender, "pool"),
        GroupSuspicion(sender, "m.3-1"),
        CrashReports(sender, evidence),
        StallEvidence(sender, "m.3-1", 2, 160),
        StalledGroups(sender, 3, 1, listOf("m.3-1"), listOf("m.3-2")),
        UsageCounts(sender, listOf(WindowCounts(360_000_000, mapOf("ana" to 3)))),
    )

    private val usage = UsageTask(
        self,
        UsageSettings(null),
        isFirstStart = false,
        UsageDependencies(
            wallMillis = { 1_800_000_000_000 },
            validEpoch = { LeaseEpoch(1) },
            isActiveController = { true },
            fleetSize = { 1 },
            receivers = { emptyList() },
            send = { _, _ -> },
            call = {},
            countWindows = { _, _ -> },
            log = { event, _ -> logged += event },
        ),
        MonotonicClock { now },
    )

    private val task = PeerTask(
        self,
        PeerDependencies(
            send = { _, _ -> },
            nextHeartbeat = { Heartbeat(self, 0, ready = true, leaving = false, controllerLease = lease) },
            register = {},
            listRegistry = {},
            onLoad = { _, _ -> },
            onFleetLoad = {},
            fleetLoad = { emptyMap() },
            onTrafficSeen = {},
            onWatchProgress = { watchRestarts += watchLag.compare(it, progress, now).size },
            onGroupAnnouncement = {},
            onRoutesRequest = {},
            onRank = {},
            onSuspicion = { suspicions += it },
            onLease = { leases += it },
            crashEvidence = { CrashAttribution.evidence(ledger, now) },
            onCrashEvidence = { ledger = CrashAttribution.merged(ledger, it, now) },
            usage = UsageReception(
                { sender, clock -> usage.handle(UsageTaskMessage.ClockHeard(sender, clock)) },
                { usage.handle(UsageTaskMessage.TimeAnnounced(it)) },
                { usage.handle(UsageTaskMessage.CountsReceived(it)) },
                { usage.fleetMillis() },
            ),
        ),
        MonotonicClock { now },
        Random(1),
    ) { event, _ -> logged += event }

    private fun receive(bytes: ByteArray) = task.handle(PeerTaskMessage.Received(bytes))

    @Example
    fun `a message whose sender has no usable address is not decoded`() {
        val records = listOf(
            sender.copy(peerPort = 70_000),
            sender.copy(peerPort = -1),
            sender.copy(ip = "no address"),
            sender.copy(callers = "10.0.0.1:0"),
            sender.copy(processors = Double.NaN),
        )
        assertNotNull(PeerCodec.decode(PeerCodec.encode(GroupSuspicion(sender, "g"))))
        for (record in records) assertNull(PeerCodec.decode(PeerCodec.encode(GroupSuspicion(record, "g"))), "$record")
    }

    @Example
    fun `a valid message of each type is handled`() {
        assertEquals(messages.size, messages.distinctBy { it::class }.size)
        messages.forEach { receive(PeerCodec.encode(it)) }
        assertTrue("peer_message_unreadable" !in logged, "$logged")
        assertEquals(listOf(GroupId("m.3-1")), suspicions)
        assertEquals(1, ledger.crashes.size)
        assertEquals(listOf("n1"), task.alivePeers().map { it.record.node })
    }

    @Property(seed = "71", tries = 1000, shrinking = ShrinkingMode.OFF)
    fun `after changed, cut or random bytes a process handles valid messages`(@ForAll seed: Long) {
        val random = Random(seed)
        ledger = CrashLedger()
        for (message in messages) {
            val bytes = PeerCodec.encode(message)
            repeat(1 + random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            receive(bytes)
            receive(bytes.copyOf(random.nextInt(bytes.size)))
            receive(random.nextBytes(random.nextInt(64)))
            now += 20.milliseconds
            task.handle(PeerTaskMessage.Tick)
            usage.handle(UsageTaskMessage.Check)
        }
        CrashAttribution.blocked(ledger, now)
        assertHandlesMessages()
    }

    /** Receives a heartbeat each 100 ms for 20 s in which the sender claims to be in [era]. */
    private fun receiveClaims(era: Long) {
        repeat(200) {
            val claimed = progress.mapValues { (_, own) -> own.copy(era = StoreEra(era)) }
            val held = lease.copy(era = StoreEra(era))
            val heartbeat = Heartbeat(sender, ++claims, ready = true, leaving = false, watchProgress = claimed)
            receive(PeerCodec.encode(heartbeat.copy(controllerLease = held)))
            now += 100.milliseconds
        }
    }

    @Example
    fun `a sender in an era that no store can be in restarts no watch and passes on no lease`() {
        for (era in listOf(-1, StoreEra.MAXIMUM + 1, Long.MAX_VALUE, Long.MIN_VALUE)) receiveClaims(era)
        assertEquals(0, watchRestarts)
        assertEquals(emptyList(), leases)
        assertEquals(listOf("n1"), task.alivePeers().map { it.record.node })
    }

    @Example
    fun `a sender that claims an era that the store isn't in restarts each watch once`() {
        receiveClaims(era = StoreEra.MAXIMUM)
        assertEquals(progress.size, watchRestarts)
    }

    @Example
    fun `a message that is nested very deeply is ignored`() {
        val array = 0x81.toByte()
        val unknownField = byteArrayOf(0xBF.toByte(), 0x61, 'x'.code.toByte())
        assertNull(PeerCodec.decode(ByteArray(60_000) { array }))
        assertNull(PeerCodec.decode(unknownField + ByteArray(60_000) { array }))
    }

    /** Another process, which no changed message names, makes itself known and reports a group and a crash. */
    private fun assertHandlesMessages() {
        val number = ++validSenders
        val other = GatewayRecord("other-$number", 1, "10.0.0.2", 7002, "10.0.0.2:80", "a")
        receive(PeerCodec.encode(Heartbeat(other, 1, ready = true, leaving = false)))
        receive(PeerCodec.encode(GroupSuspicion(other, "group-$number")))
        val crash = CrashReport("engine-$number", 1, 0, listOf(RequestReport("a-$number", listOf(0))), emptyList())
        receive(PeerCodec.encode(CrashReports(other, CrashEvidence(listOf("part-$number"), listOf(crash)))))
        assertTrue(task.alivePeers().any { it.record == other })
        assertEquals(GroupId("group-$number"), suspicions.last())
        assertTrue(ledger.crashes.keys.any { it.engine.value == "engine-$number" }, "${ledger.crashes.keys}")
    }
}
