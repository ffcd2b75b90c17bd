package redwingcross.standins.engine

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import redwingcross.request.Vm
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds

/** Runs stand-in model engines until the process is stopped. */
class EngineMain : CliktCommand(name = "standin-engine") {
    private val engines by option(help = "Engines to host, as name=port,…; port 0 takes a free port")
        .convert { text ->
            val (name, port) = text.split("=").takeIf { it.size == 2 } ?: fail("'$text' is not name=port")
            Vm(name) to (port.toIntOrNull()?.takeIf { it in 0..65_535 } ?: fail("'$port' is not 0 to 65535"))
        }.split(",")
        .required()
    private val address by option(help = "Address to listen on").default("127.0.0.1")
    private val coldLimit by option(help = "Concurrency limit of a cold engine; one more request crashes it")
        .int()
        .default(2)
    private val warmLimit by option(help = "Concurrency limit of a warm engine; one more request is refused")
        .int()
        .default(16)
    private val rampMillis by option(help = "Milliseconds after which the cold limit doubles").long().default(5_000)
    private val loadMillis by option(help = "Milliseconds to load weights").long().default(500)
    private val firstTokenMillis by option(help = "Milliseconds to the first token").long().default(50)
    private val tokenMillis by option(help = "Milliseconds between tokens").long().default(10)
    private val tokens by option(help = "Tokens of a response if the request has no max_tokens").int().default(32)
    private val reportLagMillis by option(help = "Age in milliseconds of the load figures in reports").long().default(0)
    private val ignoreFencing by option(
        help = "Names of engines that ignore fencing tokens",
    ).split(",").default(emptyList())

    override fun run() {
        val host = EngineHost(engines.map { (vm, port) -> EngineSpec(vm, port, settings(vm)) }, address)
        engines.forEach { (vm, _) -> echo("event=engine_started vm=$vm endpoint=${host.endpoint(vm)}") }
        Runtime.getRuntime().addShutdownHook(Thread { host.close() })
        CountDownLatch(1).await()
    }

    private fun settings(vm: Vm) = EngineSettings(
        coldLimit = coldLimit,
        warmLimit = warmLimit,
        rampStep = rampMillis.milliseconds,
        loadTime = loadMillis.milliseconds,
        firstToken = firstTokenMillis.milliseconds,
        tokenInterval = tokenMillis.milliseconds,
        defaultTokens = tokens,
        reportLag = reportLagMillis.milliseconds,
        checksFencing = vm.value !in ignoreFencing,
    )
}

fun main(args: Array<String>) = EngineMain().main(args)
