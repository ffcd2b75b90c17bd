package redwingcross.edge

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.parse
import io.netty.channel.nio.NioEventLoopGroup
import redwingcross.connection.http.CallerConnectionLimits
import redwingcross.connection.http.CallerListener
import redwingcross.process.crash.BlockedTrait
import redwingcross.process.crash.EngineRun
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.MonotonicClock
import redwingcross.request.PromptPart
import redwingcross.version.fleet.EngineStart
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against blocks that operators can't see or lift, and against lifts by a mistyped command or a plain GET. */
class OperatorEndpointTest {
    private val group = NioEventLoopGroup(1)
    private val blocked = mutableMapOf(
        "bad1" to BlockedTrait(
            PromptPart("bad1"),
            listOf(EngineRun(BackendServer("e1"), EngineStart(17)), EngineRun(BackendServer("e2"), null)),
            listOf(AttemptId("a1"), AttemptId("a2")),
            1500.milliseconds,
        ),
    )
    private val endpoint = OperatorEndpoint({ "metric 1" }, ::state, { blocked.remove(it.id) != null })
    private val address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
        InetSocketAddress(it.inetAddress, it.localPort)
    }
    private val listener = CallerListener(
        group,
        MonotonicClock.system,
        { 10_000 },
        { CallerConnectionLimits(10_000, 5.seconds, 5.seconds) },
        {},
        endpoint::serve,
    ).also { it.start(address) }
    private val location = "127.0.0.1:${address.port}"

    private fun state() = EdgeState(
        node = "n",
        isActiveController = false,
        configuration = null,
        viewAgeMillis = emptyMap(),
        evacuatedZones = emptyList(),
        requestsRunning = 0,
        peers = emptyList(),
        services = emptyList(),
        formation = emptyList(),
        blockedParts = blocked.values.map { it.toState() },
    )

    private class CommandResult(val statusCode: Int, val stdout: String, val stderr: String)

    private fun run(vararg arguments: String): CommandResult {
        val output = StringBuilder()
        val errors = StringBuilder()
        val command = EdgeCommand { null }
        command.context {
            echoMessage = { _, message, trailingNewline, isError ->
                (if (isError) errors else output).append(message).append(if (trailingNewline) "\n" else "")
            }
        }
        val statusCode = try {
            command.parse(arguments.toList())
            0
        } catch (error: CliktError) {
            command.echoFormattedHelp(error)
            error.statusCode
        }
        return CommandResult(statusCode, output.toString(), errors.toString())
    }

    @AfterTest
    fun close() {
        listener.stopAccepting()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `the state shows a blocked part with its crashes and attempts until the block is lifted`() {
        val line = "blocked_part=bad1 for=1500ms crashes=e1:17,e2: attempts=a1,a2"
        assertTrue(line in run("--show-state", location).stdout)
        val lifted = run("--lift-block", "BAD1", "--at", location)
        assertEquals(0 to "the block of bad1 is lifted\n", lifted.statusCode to lifted.stdout)
        assertTrue("blocked_part" !in run("--show-state", location).stdout)
    }

    @Test
    fun `a lift with bad input is rejected with the place of the fault`() {
        val faults = mapOf(
            listOf("--lift-block", "bad1") to "--at",
            listOf("--at", location) to "--lift-block",
            listOf("--lift-block", "not/hex", "--at", location) to "--lift-block: 'not/hex' is not the id of a part",
            listOf(
                "--lift-block",
                "request:1",
                "--at",
                location,
            ) to "--lift-block: 'request:1' is not the id of a part",
            listOf("--lift-block", "bad1", "--at", "no address") to "--at: 'no address' is not an address",
            listOf("--lift-block", "bad1", "--at", "127.0.0.1:1") to "--at: 127.0.0.1:1 could not be reached",
            listOf("--lift-block", "bad2", "--at", location) to "bad2 is not blocked at this process",
        )
        for ((arguments, message) in faults) {
            val result = run(*arguments.toTypedArray())
            assertTrue(result.statusCode != 0 && message in result.stderr, "$arguments: ${result.stderr}")
        }
        assertTrue("bad1" in blocked)
    }

    @Test
    fun `only a POST lifts a block`() {
        val read = URI(
            "http://$location${OperatorEndpoint.LIFT_PATH}bad1",
        ).toURL().openConnection() as HttpURLConnection
        assertEquals(405, read.responseCode)
        assertTrue("bad1" in blocked)
    }
}
