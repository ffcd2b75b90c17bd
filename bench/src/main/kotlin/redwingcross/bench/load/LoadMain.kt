package redwingcross.bench.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlin.time.Duration.Companion.seconds

private const val MAX_STREAMS = 512

/**
 * Measures latency and throughput of streams sent directly to an engine and through a gateway, and prints one line for
 * each path and number of concurrent streams. The paths are measured one after the other, so that they don't compete
 * for the machine.
 */
internal class LoadMain : CliktCommand(name = "bench-load") {
    private val direct by option(help = "Engines of one group as address:port,…; the ready leader is measured")
        .split(",")
        .required()
    private val gateway by option(help = "address:port of the gateway for callers").required()
    private val operator by option(help = "address:port of the gateway for operators").required()
    private val model by option(help = "Model that is requested").required()
    private val customer by option(help = "Customer that sends the requests").required()
    private val streams by option(help = "Numbers of concurrent streams, at most $MAX_STREAMS each")
        .int()
        .restrictTo(1..MAX_STREAMS)
        .split(",")
        .default(listOf(1, 32, 256))
    private val requests by option(help = "Requests for each line, at least two for each stream")
        .int()
        .restrictTo(1..100_000)
        .default(20)
    private val tokens by option(help = "Tokens of a response").int().restrictTo(2..10_000).default(64)
    private val limitSeconds by option(help = "Seconds after which a line starts no more requests")
        .int()
        .restrictTo(1..600)
        .default(20)

    override fun run() {
        LoadClient(MAX_STREAMS).use { client ->
            val leader = client.leader(direct) ?: throw CliktError("no engine of $direct is a ready leader")
            val paths = listOf(
                "direct" to client.directCalls(leader, model, tokens),
                "gateway" to client.gatewayCalls(gateway, model, customer, tokens),
            )
            paths.forEach { (_, call) ->
                measureLoad(call, WARM_UP_STREAMS, WARM_UP_REQUESTS, tokens, limitSeconds.seconds)
            }
            echo(LOAD_HEADER)
            for (count in streams) {
                for ((path, call) in paths) echo(measureLine(client, path, call, count))
            }
        }
    }

    private fun measureLine(client: LoadClient, path: String, call: StreamCall, count: Int): String {
        val before = client.processorTime(operator)
        val load = measureLoad(call, count, maxOf(requests, 2 * count), tokens, limitSeconds.seconds)
        return loadLine(path, count, load, client.processorTime(operator) - before)
    }

    private companion object {
        // The first requests run before the JIT has compiled the code, so they are excluded from the results.
        const val WARM_UP_STREAMS = 32
        const val WARM_UP_REQUESTS = 512
    }
}

fun main(arguments: Array<String>) = LoadMain().main(arguments)
