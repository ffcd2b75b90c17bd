package redwingcross.process.edge

import redwingcross.process.crash.CrashEvidence
import redwingcross.process.crash.CrashReport
import redwingcross.request.MonotonicClock
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against processes that stay unknown to each other after a network partition, or missing from the registry. */
class PeerTaskTest {
    private fun record(node: String, start: Long = 1) = GatewayRecord(node, start, "10.0.0.1", 7340, "10.0.0.1:80", "a")

    private fun heartbeat(node: String, sequence: Long) =
        Heartbeat(record(node), sequence, ready = true, leaving = false, trafficSeen = false, emptyMap(), emptyMap())

    private var now = Duration.ZERO
    private val sent = mutableListOf<InetSocketAddress>()
    private var evidence = CrashEvidence()
    private var evidenceSent = 0
    private val registryCalls = mutableListOf<String>()
    private val registrations = mutableListOf<RegistrationCall>()

    private val task = PeerTask(
        record("self"),
        PeerDependencies(
            send = { address, bytes ->
                sent += address
                (PeerCodec.decode(bytes) as? CrashReports)?.let { evidenceSent++ }
            },
            nextHeartbeat = { heartbeat("self", 0) },
            register = {
                registryCalls += "register"
                registrations += it
            },
            listRegistry = { allowStale -> registryCalls += if (allowStale) "list_old" else "list" },
            onLoad = { _, _ -> },
            onFleetLoad = {},
            fleetLoad = { emptyMap() },
            onTrafficSeen = {},
            onWatchProgress = {},
            onGroupAnnouncement = {},
            onRoutesRequest = {},
            onRank = {},
            onSuspicion = {},
            onLease = {},
            crashEvidence = { evidence },
            onCrashEvidence = {},
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

    private fun receiveHeartbeat(node: String, sequence: Long) {
        task.handle(PeerTaskMessage.Received(PeerCodec.encode(heartbeat(node, sequence))))
    }

    private fun registered(call: RegistrationCall, wasPresent: Boolean = false) {
        task.handle(PeerTaskMessage.RegistryCallCompleted(RegistryResult.Registered(call, wasPresent)))
    }

    /** Registers and reads the registry; afterwards no call is due for 15 s while "a" is heard. */
    private fun registerBesideAnother() {
        runFor(250.milliseconds)
        registered(registrations.last())
        receiveRegistryList("self", "a")
        registryCalls.clear()
    }

    private fun runBesideAnother(time: Duration) = runFor(time) { receiveHeartbeat("a", ++heardSequence) }

    /** Runs until the process writes its entry again. */
    private fun runUntilRegistration(): RegistrationCall {
        val before = registrations.size
        repeat(9) { if (registrations.size == before) runBesideAnother(250.milliseconds) }
        return registrations[before]
    }

    private var heardSequence = 0L

    private fun receiveRegistryList(vararg nodes: String) {
        task.handle(
            PeerTaskMessage.RegistryCallCompleted(RegistryResult.Listed(nodes.map { record(it) }, isCurrent = true)),
        )
    }

    @Test
    fun `a process that was cut off from the others is told what they learned of crashes meanwhile`() {
        registerBesideAnother()
        receiveHeartbeat("a", 21)
        evidence = CrashEvidence(crashes = listOf(CrashReport("e1", 1, 100, emptyList(), emptyList())))
        runFor(750.milliseconds)
        receiveHeartbeat("a", 22)
        assertEquals(0, evidenceSent, "it got the change and its repeats")
        runFor(3.seconds)
        receiveHeartbeat("a", 23)
        assertEquals(1, evidenceSent)
    }

    @Test
    fun `a process that removed all others during a partition finds them again through the registry`() {
        registered(RegistrationCall(1))
        receiveRegistryList("self", "a")
        receiveHeartbeat("a", 1)
        runFor(12.seconds)
        assertEquals(1, task.gatewayShare.count, "the other process is removed")
        registryCalls.clear()
        runFor(2.seconds)
        assertTrue("list" in registryCalls)
        receiveRegistryList("self", "a")
        assertEquals(2, task.gatewayShare.count)
    }

    @Test
    fun `a process that still receives heartbeats reads the registry at a low rate to find missing processes`() {
        registered(RegistrationCall(1))
        receiveRegistryList("self", "a", "b")
        registryCalls.clear()
        var sequence = 0L
        runFor(30.seconds) { receiveHeartbeat("b", ++sequence) }
        assertTrue("list_old" in registryCalls, "$registryCalls")
        assertTrue(registryCalls.size <= 2, "more than 2 registry calls in 30 s: $registryCalls")
    }

    @Test
    fun `a process whose entry is missing from the registry registers again`() {
        registered(RegistrationCall(1))
        receiveRegistryList("a")
        receiveHeartbeat("a", 1)
        registryCalls.clear()
        runFor(2.seconds)
        assertTrue("register" in registryCalls)
    }

    @Test
    fun `a process writes its entry again after the store has lost changes`() {
        registerBesideAnother()
        task.handle(PeerTaskMessage.StoreRestored)
        val call = runUntilRegistration()
        assertEquals(listOf("register"), registryCalls)
        registered(call)
        assertEquals("list", registryCalls.last(), "processes that started meanwhile don't know this one")
        runBesideAnother(10.seconds)
        assertEquals(1, registryCalls.count { it == "register" })
    }

    @Test
    fun `a process whose entry survived the restore reads no list`() {
        registerBesideAnother()
        task.handle(PeerTaskMessage.StoreRestored)
        registered(runUntilRegistration(), wasPresent = true)
        runBesideAnother(10.seconds)
        assertEquals(listOf("register"), registryCalls)
    }

    @Test
    fun `an entry that a repeated call finds may be a new one`() {
        registerBesideAnother()
        task.handle(PeerTaskMessage.StoreRestored)
        val first = runUntilRegistration()
        task.handle(PeerTaskMessage.RegistryCallCompleted(RegistryResult.Failed))
        runBesideAnother(2.seconds)
        assertTrue(registrations.last() > first, "$registrations")
        registered(registrations.last(), wasPresent = true)
        assertEquals("list", registryCalls.last())
    }

    @Test
    fun `a registration from before the restore doesn't count`() {
        runFor(250.milliseconds)
        val before = registrations.single()
        task.handle(PeerTaskMessage.StoreRestored)
        registered(before)
        val after = runUntilRegistration()
        assertTrue(after > before, "$registrations")
        task.handle(PeerTaskMessage.StoreRestored)
        registered(after)
        val last = runUntilRegistration()
        assertTrue(last > after, "the second restore came before the result")
        registered(last, wasPresent = true)
        assertEquals("list", registryCalls.last(), "the entry may have been absent until now")
    }

    @Test
    fun `an entry of an ended process that the copy contains replaces no running one`() {
        registerBesideAnother()
        runBesideAnother(1.seconds)
        val earlier = record("a", start = 0)
        val list = RegistryResult.Listed(listOf(earlier, record("ended"), record("self")), isCurrent = true)
        task.handle(PeerTaskMessage.RegistryCallCompleted(list))
        assertEquals(record("a"), task.peersByNode.getValue("a").record)
        runBesideAnother(10.5.seconds)
        assertEquals(setOf("a"), task.peersByNode.keys, "a process that isn't heard is removed")
    }

    @Test
    fun `the processes of a large fleet don't write their entries at the same time`() {
        val random = Random(7)
        val writtenAt = List(350) { spreadOf(random) }
        val busiest = writtenAt.groupingBy { it.inWholeMilliseconds / 250 }.eachCount().values.max()
        assertTrue(writtenAt.all { it <= 2.25.seconds }, "${writtenAt.max()}")
        assertTrue(busiest <= 100, "$busiest writes in 250 ms, the store takes 400 a second")
    }

    /** Time from a restore to the write of the entry of one process that ticks each 250 ms. */
    private fun spreadOf(random: Random): Duration {
        var at = Duration.ZERO
        val writtenAt = mutableListOf<Duration>()
        val calls = RegistryCalls(record("self"), { writtenAt += at }, {}, random)
        calls.callIfDue(at, isAlone = true, retryAfter = 1.seconds)
        calls.completed(RegistryResult.Registered(RegistrationCall(1), wasPresent = false))
        at = 250.milliseconds * random.nextDouble()
        calls.storeRestored(0.seconds)
        while (writtenAt.size < 2) {
            calls.callIfDue(at, isAlone = true, retryAfter = 1.seconds)
            at += 250.milliseconds
        }
        return writtenAt.last()
    }
}
