package redwingcross.gateway

import com.github.ajalt.clikt.core.ProgramResult
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import redwingcross.connection.caller.ByteBudget
import redwingcross.connection.caller.CallerServerSettings
import redwingcross.process.membership.ProcessRole
import redwingcross.process.node.NodeCommand
import redwingcross.process.settings.SettingKind
import redwingcross.request.Finding
import redwingcross.request.MonotonicClock
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration.Companion.seconds

/**
 * Longest wait of a watch request. Must stay well below the lifetime of a view, because a response confirms the view
 * only as of the time at which the request was sent.
 */
private val longPollWait = 2.seconds

/** Command line of `redwingcross-gateway`. */
internal class GatewayCommand(environment: (String) -> String? = System::getenv) :
    NodeCommand("redwingcross-gateway", "Routes callers' requests to back ends.", environment) {
    private val listen = setting("--listen", "Address and port for callers.", SettingKind.endpoint)
    private val maxExchanges = setting(
        "--max-exchanges",
        "Maximum number of caller requests in flight.",
        SettingKind.int(1..MAXIMUM_EXCHANGES),
        default = "1024",
    )
    private val maxBody = setting("--max-body", "Maximum size of a request body.", SettingKind.bytes, default = "1MiB")
    private val relayBudget = setting(
        "--relay-budget",
        "Memory limit for response data that callers have not read yet.",
        SettingKind.bytes,
        default = "32MiB",
    )

    override fun listeners(): Map<String, String> = super.listeners() + ("--listen" to listen.value)

    override fun checkTogether(): List<Finding> {
        val minimumBytes = ByteBudget.smallestTotalBytes(maxExchanges.value)
        val message = "must be at least $minimumBytes bytes for ${maxExchanges.value} exchanges"
        val budgetFindings = listOf(Finding("--relay-budget", message)).filter { relayBudget.value < minimumBytes }
        return budgetFindings + super.checkTogether()
    }

    override suspend fun start() {
        val clock = MonotonicClock.system
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val store = openPlatform(scope, clock) { longPollWait }
        val gateway = Gateway(
            member = member(ProcessRole.GATEWAY, Endpoint(listen.value), clock),
            seeds = seedEndpoints,
            store = store,
            settings = GatewaySettings(callerSettings(), operator.value, relayBudget.value),
            scope = scope,
            clock = clock,
        )
        val exitCode = gateway.run()
        if (exitCode != 0) throw ProgramResult(exitCode)
    }

    private fun callerSettings() = CallerServerSettings(
        host = listen.value.substringBeforeLast(':'),
        port = listen.value.substringAfterLast(':').toInt(),
        maxBodyBytes = maxBody.value,
        maxExchanges = maxExchanges.value,
        maxConnections = maxExchanges.value * 4,
        maxConnectionsPerAddress = maxExchanges.value * 2,
    )

    private companion object {
        const val MAXIMUM_EXCHANGES = 16_384
    }
}
