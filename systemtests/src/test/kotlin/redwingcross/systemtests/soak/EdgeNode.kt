package redwingcross.systemtests.soak

import redwingcross.systemtests.ProgramProcess
import redwingcross.systemtests.platform.EngineStandin
import redwingcross.systemtests.platform.LinkProxy
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path

/** Simulated edge VM: the settings of its process, its link to the store and the current process. */
internal class EdgeNode(
    index: Int,
    subnet: Int,
    private val folder: Path,
    val storeLink: LinkProxy,
    /** Further lines of the settings file. */
    private val furtherSettings: String = "",
) : AutoCloseable {
    val name = "edge-$index"
    val ip = "127.0.$subnet.${index + 1}"
    private val settings = folder.resolve("$name.yaml")
    private var starts = 0

    /** Address on which callers connect. */
    val callers = "$ip:$CALLER_PORT"

    /** Address on which callers resolve the addresses of the edges. */
    val directory = "$ip:8224"
    var process: ProgramProcess? = null
        private set

    private val zone = if (index % 2 == 0) "zone-a" else "zone-b"

    init {
        writeSettings(drainMillis = 2000)
    }

    /** Writes the settings file, which the process reads at its start and on SIGHUP. */
    fun writeSettings(drainMillis: Int) {
        Files.writeString(settings, settingsText(drainMillis))
    }

    /** Starts the process unless it is running. */
    fun start() {
        if (process?.isAlive == true) return
        process = ProgramProcess(
            "redwingcross.edge.EdgeMainKt",
            "$name-${starts++}",
            folder,
            listOf("--settings", settings.toString()),
            memoryOptions,
        )
    }

    /** Whether the process accepts connections of callers. */
    fun isListening(): Boolean = try {
        Socket().use { it.connect(InetSocketAddress(ip, CALLER_PORT), CONNECT_MILLIS) }
        true
    } catch (_: IOException) {
        false
    }

    override fun close() {
        process?.close()
    }

    private fun settingsText(drainMillis: Int) = """
        node-name: "$name"
        ip: "$ip"
        zone: "$zone"
        region: "north"
        listen:
          front: "$callers"
          ready: "$ip:8220"
          directory: "$directory"
        internal-ports: [7340, 7355]
        limits: { memory-mb: 430, max-fds: 4100 }
        heartbeat-ms: 400
        bounds:
          stable-window-ms: 3000
          drain-ms: $drainMillis
          grace-s: 5
          config-apply-ms: 2000
          retry-budget-ratio: 0.2
          budget-window-s: 10
          budget-extra: 107
          cold-overrun: 1.5
          cold-slack: 5
          evacuation-ms: 5000
          stall-ms: ${EngineStandin.STALL_MILLIS}
          ttl_max_s: 5
        platform: { addr: "127.0.0.1:${storeLink.address.port}", writes-per-s: 400, reads-per-s: 2000 }
    """.trimIndent() + "\n$furtherSettings\n"

    companion object {
        const val CALLER_PORT = 8227

        /** The limits of the deploy file. */
        private val memoryOptions =
            listOf("-Xmx96m", "-XX:MaxDirectMemorySize=48m", "-Dio.netty.noPreferDirect=true")
        private const val CONNECT_MILLIS = 500
    }
}
