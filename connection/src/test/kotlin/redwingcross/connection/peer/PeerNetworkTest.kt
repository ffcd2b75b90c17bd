package redwingcross.connection.peer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import redwingcross.request.AttemptId
import redwingcross.request.ProcessName
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.ByteBuffer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against answers that reach the wrong request, connections that stay open after invalid frames or inactivity,
 * and unlimited queues and connections.
 */
class PeerNetworkTest {
    private val name = ProcessName("controller-1")
    private val ends = Channel<ConnectionEnd>(Channel.UNLIMITED)

    private fun network(settings: PeerSettings = PeerSettings()) =
        PeerNetwork(settings, report = { _, end -> ends.trySend(end) })

    private suspend fun CoroutineScope.listen(network: PeerNetwork, answer: AnswerFrame): PeerEndpoint {
        val bound = CompletableDeferred<PeerEndpoint>()
        launch { network.run() }
        launch { network.listen(PeerEndpoint("127.0.0.1:0"), answer) { bound.complete(it) } }
        return bound.await()
    }

    private fun run(block: suspend CoroutineScope.() -> Unit) = runBlocking(Dispatchers.Default) {
        withTimeout(30.seconds) {
            coroutineScope {
                block()
                coroutineContext.cancelChildren()
            }
        }
    }

    private suspend inline fun <reified T : ConnectionEnd> awaitEnd(): T {
        while (true) (ends.receive() as? T)?.let { return it }
    }

    private fun stateAnswer(frame: PeerFrame, state: String) = PeerFrame.StateAnswer(name, frame.correlation, state)

    @Test
    fun `concurrent requests on one connection each get their own answer`() = run {
        val network = network()
        val endpoint =
            listen(network) { frame ->
                val attempt = (frame as PeerFrame.AbandonAttempt).attempt.value
                delay((attempt.toInt() % 7 * 5).milliseconds)
                stateAnswer(frame, attempt)
            }
        val answers =
            List(30) { number ->
                async {
                    network.request(endpoint, 10.seconds) {
                        PeerFrame.AbandonAttempt(name, it, AttemptId("$number"))
                    }
                }
            }.awaitAll()
        val states = answers.map { ((it as PeerAnswer.Answered).frame as PeerFrame.StateAnswer).state }
        assertEquals(List(30) { "$it" }, states)
    }

    @Test
    fun `a malformed or too large frame closes the connection and is reported with its position`() = run {
        val endpoint = listen(network(PeerSettings(maximumFrameBytes = 100))) { null }
        val inputs = mapOf(4 to "not a peer frame", 101 to "frame length 101 is outside 1..100", -1 to "length -1")
        for ((length, message) in inputs) {
            withContext(Dispatchers.IO) {
                Socket("127.0.0.1", checkNotNull(endpoint.port)).use { socket ->
                    socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(length).putInt(-1).array())
                    assertEquals(-1, socket.getInputStream().read())
                }
            }
            val finding = awaitEnd<ConnectionEnd.Malformed>().finding
            assertTrue(message in finding.message, finding.toString())
            assertTrue(finding.place.endsWith("byte 0"), finding.place)
        }
    }

    @Test
    fun `a connection without any answer is replaced by a new one`() = run {
        val network = network(PeerSettings(inactivityTimeout = 300.milliseconds))
        launch { network.run() }
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { silent ->
            val endpoint = PeerEndpoint("127.0.0.1:${silent.localPort}")
            repeat(2) {
                val answer = network.request(endpoint, 10.seconds) { PeerFrame.StateRequest(name, it) }
                assertIs<PeerAnswer.NoAnswer>(answer)
                awaitEnd<ConnectionEnd.Silent>()
            }
            withContext(Dispatchers.IO) { repeat(2) { silent.accept().close() } }
        }
    }

    @Test
    fun `a full mailbox drops the oldest gossip and refuses requests`() = run {
        val network = network(PeerSettings(mailboxFrames = 4, inactivityTimeout = 20.seconds))
        val endpoint = listen(network) { awaitCancellation() }
        val requests =
            List(20) {
                async { network.request(endpoint, 1.seconds) { PeerFrame.StateRequest(name, it) } }
            }.awaitAll()
        val gossip =
            List(20) {
                async { network.request(endpoint, 1.seconds) { PeerFrame.Gossip(name, it, ByteArray(0)) } }
            }.awaitAll()
        assertTrue(requests.count { it == PeerAnswer.Refused("mailbox full") } >= 10, "$requests")
        assertTrue(gossip.count { it == PeerAnswer.Refused("newer gossip queued") } >= 10, "$gossip")
    }

    @Test
    fun `connections beyond the limits are closed`() = run {
        val network = network(PeerSettings(incomingLimit = 1, outgoingLimit = 1))
        val first = listen(network) { stateAnswer(it, "first") }
        assertIs<PeerAnswer.Answered>(
            network.request(first, 5.seconds) { PeerFrame.StateRequest(name, it) },
        )
        withContext(Dispatchers.IO) {
            Socket("127.0.0.1", checkNotNull(first.port)).use { assertEquals(-1, it.getInputStream().read()) }
        }
        awaitEnd<ConnectionEnd.LimitReached>()
        // The connection to the first listener is closed in favour of one to another endpoint.
        val other = network.request(PeerEndpoint("127.0.0.1:1"), 1.seconds) { PeerFrame.StateRequest(name, it) }
        assertIs<PeerAnswer.Refused>(other)
        assertIs<ConnectionEnd.Closed>(awaitEnd<ConnectionEnd.Closed>())
    }
}
