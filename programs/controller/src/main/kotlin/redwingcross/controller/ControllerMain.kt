package redwingcross.controller

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import redwingcross.connection.engine.EngineClient
import redwingcross.connection.platform.PlatformStore
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.ZoneStatus
import java.util.UUID

/** Opens the platform's store at one of its URLs. */
typealias OpenPlatformStore = (urls: List<String>) -> PlatformStore

/** Reads the settings and runs a controller until the process is asked to stop. */
class ControllerMain(private val openStore: OpenPlatformStore) : CliktCommand(name = "redwingcross-controller") {
    private val log = KotlinLogging.logger {}
    private val processName by option("--name", help = "Name of this process", envvar = "REDWINGCROSS_NAME").required()
    private val zone by option(help = "Availability zone of this process", envvar = "REDWINGCROSS_ZONE").required()
    private val peerAddress by option(help = "address:port for peers", envvar = "REDWINGCROSS_PEER_ADDRESS").required()
    private val operatorAddress by
        option(help = "address:port for operators", envvar = "REDWINGCROSS_OPERATOR_ADDRESS").required()
    private val platform by
        option(help = "URLs of the platform", envvar = "REDWINGCROSS_PLATFORM").split(",").required()

    override fun help(context: Context): String = "Forms and repairs serving groups."

    override fun run() = runBlocking(Dispatchers.Default) { serve(settings()) }

    private fun settings() = ControllerSettings(
        name = ProcessName(processName),
        zone = AvailabilityZone(zone),
        peerAddress = peerAddress,
        operatorAddress = operatorAddress,
        platformUrls = platform,
    )

    private suspend fun serve(settings: ControllerSettings) = EngineClient().use { engines ->
        val links =
            ControllerLinks(
                store = openStore(settings.platformUrls),
                readReport = engines.readReport,
                sendOrder = engines.sendOrder,
                rank = { 0 },
                publishStatus = ::logStatus,
            )
        val incarnation = UUID.randomUUID().toString()
        val runtime = ControllerRuntime(settings.name, incarnation, links, MonotonicClock.system)
        log.info { "event=controller-started name=${settings.name} zone=${settings.zone}" }
        runUntilStopped(runtime)
    }

    private fun runUntilStopped(runtime: ControllerRuntime) = runBlocking {
        val job = launch(Dispatchers.Default) { runtime.run() }
        val hook =
            Thread {
                runBlocking {
                    runtime.stop()
                    job.cancelAndJoin()
                }
            }
        Runtime.getRuntime().addShutdownHook(hook)
        job.join()
    }

    private fun logStatus(status: ZoneStatus) = log.info {
        val ready = status.groups.count { it.readiness == GroupReadiness.READY }
        "event=zone-status zone=${status.zone} observer=${status.observer} sequence=${status.sequence} " +
            "groups=${status.groups.size} ready=$ready"
    }
}
