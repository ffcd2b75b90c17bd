package redwingcross.cli

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import redwingcross.connection.peer.PeerAnswer
import redwingcross.connection.peer.PeerEndpoint
import redwingcross.connection.peer.PeerFrame
import redwingcross.connection.peer.PeerNetwork
import redwingcross.connection.platform.PlatformClient
import redwingcross.connection.platform.PlatformClientSettings
import redwingcross.request.Checked
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ControlState
import java.util.UUID
import kotlin.time.Duration.Companion.seconds

private val peerTimeout = 1.seconds
private val json = Json { ignoreUnknownKeys = true }

/** Global options of one command line, and the connections that are open while its command runs. */
internal class OperatorSession(
    private val operator: String,
    private val platformUrls: List<String>,
    val printsJson: Boolean,
    private val clock: MonotonicClock = MonotonicClock.system,
) {
    /** Runs [action] with open connections and closes them afterwards. */
    suspend fun use(action: suspend (OperatorContext) -> CommandReport): CommandReport = coroutineScope {
        val client = PlatformClient.start(PlatformClientSettings(platformUrls), this, clock)
        val report = when (client) {
            is Checked.Invalid -> CommandReport.badInput(client.findings.map { "--platform: ${it.message}" })
            is Checked.Valid -> action(contextWith(client.value, PeerNetwork(clock = clock), this))
        }
        coroutineContext.cancelChildren()
        report
    }

    private fun contextWith(platform: PlatformClient, network: PeerNetwork, scope: CoroutineScope): OperatorContext {
        scope.launch { network.run() }
        val self = ProcessName("operator-$operator")
        return OperatorContext(
            operator = operator,
            store = OperatorStore(platform.store, clock, { UUID.randomUUID().toString() }),
            readState = { endpoint -> network.requestState(endpoint, self) },
            push = { endpoint, control -> network.push(endpoint, self, control) },
            clock = clock,
        )
    }
}

/** Requests the state dump of a process; null if it does not answer in time or its dump is malformed. */
private suspend fun PeerNetwork.requestState(endpoint: Endpoint, self: ProcessName): JsonElement? {
    val answer = request(PeerEndpoint(endpoint.value), peerTimeout) { PeerFrame.StateRequest(self, it) }
    val frame = (answer as? PeerAnswer.Answered)?.frame as? PeerFrame.StateAnswer ?: return null
    return try {
        json.parseToJsonElement(frame.state)
    } catch (_: SerializationException) {
        null
    }
}

/** Sends [control] to a process; a missing answer is ignored, because the caller checks the adoption itself. */
private suspend fun PeerNetwork.push(endpoint: Endpoint, self: ProcessName, control: ControlState) {
    val encoded = json.encodeToString(ControlState.serializer(), control)
    request(PeerEndpoint(endpoint.value), peerTimeout) { PeerFrame.ControlAnswer(self, it, encoded) }
}
