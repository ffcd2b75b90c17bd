package redwingcross.process.node

import kotlinx.coroutines.CoroutineScope
import redwingcross.connection.platform.PlatformClient
import redwingcross.connection.platform.PlatformClientSettings
import redwingcross.connection.platform.PlatformStore
import redwingcross.process.membership.Member
import redwingcross.process.membership.ProcessRole
import redwingcross.process.membership.StartId
import redwingcross.process.settings.ProgramCommand
import redwingcross.process.settings.Setting
import redwingcross.process.settings.SettingKind
import redwingcross.request.AvailabilityZone
import redwingcross.request.Checked
import redwingcross.request.Finding
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.time.Duration

/** Command line of a gateway or controller, with the settings that both have. */
abstract class NodeCommand(name: String, summary: String, environment: (String) -> String?) :
    ProgramCommand(name, summary, environment) {
    /** Name of this process; for a gateway, the name in the configuration bundle. */
    protected val processName: Setting<String> = setting("--name", "Name of this process.", SettingKind.text)

    private val zone = setting("--zone", "Availability zone of this process.", SettingKind.text)
    private val peer = setting("--peer", "Address and port for other processes of the system.", SettingKind.endpoint)
    private val seeds = setting(
        "--seeds",
        "Peer addresses to join until the bundle is known.",
        SettingKind.endpoints,
        default = NO_SEED,
    )

    /** Address and port of the HTTP listener for operators: health, metrics and state. */
    protected val operator: Setting<String> =
        setting("--operator-listen", "Address and port for operators.", SettingKind.endpoint)

    private val platform = setting("--platform", "Base URLs of the platform.", SettingKind.urls)

    /** Endpoints that this program listens on, by the flag that sets them; their ports must be free. */
    protected open fun listeners(): Map<String, String> =
        mapOf("--peer" to peer.value, "--operator-listen" to operator.value)

    override fun checkTogether(): List<Finding> = listeners().mapNotNull { (flag, endpoint) ->
        bindFailure(endpoint)?.let { Finding(flag, "can't listen on $endpoint: $it") }
    }

    /** Peer addresses to join, without the address of this process. */
    protected val seedEndpoints: List<Endpoint>
        get() = seeds.value.map(::Endpoint).filter { it.value != peer.value && it.value != NO_SEED }

    /** The member entry of this process, with a new random start id. */
    protected fun member(role: ProcessRole, caller: Endpoint?, clock: MonotonicClock): Member = Member(
        name = ProcessName(processName.value),
        role = role,
        zone = AvailabilityZone(zone.value),
        peer = Endpoint(peer.value),
        caller = caller,
        start = StartId(Random.nextLong()),
        startedAt = clock.now(),
    )

    /** Opens the platform's store; its tasks run in [scope]. */
    protected fun openPlatform(
        scope: CoroutineScope,
        clock: MonotonicClock,
        longPollWait: () -> Duration,
    ): PlatformStore {
        val client = PlatformClient.start(PlatformClientSettings(platform.value), scope, clock, longPollWait)
        return when (client) {
            is Checked.Valid -> client.value.store
            // The base URLs were checked with the other settings.
            is Checked.Invalid -> error(client.findings.joinToString())
        }
    }

    private companion object {
        /** Default value for an empty list of seeds; nothing listens on port 1. */
        const val NO_SEED = "127.0.0.1:1"
    }
}

/** The reason why [endpoint] can't be bound, or null if its port is free. */
private fun bindFailure(endpoint: String): String? = try {
    val address = InetSocketAddress(endpoint.substringBeforeLast(':'), endpoint.substringAfterLast(':').toInt())
    ServerSocket().use { it.bind(address) }
    null
} catch (failure: IOException) {
    failure.message
}
