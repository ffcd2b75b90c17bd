package redwingcross.bench.replay

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import java.util.Locale

/** Prints how ways to choose a group serve the same replayed arrivals. */
internal class PlacementReplayCommand : CliktCommand(name = "placement-replay") {
    private val gateways by option(help = "Numbers of gateways").int().split(",").default(listOf(8, 58, 95, 350))
    private val utilizations by option(help = "Offered loads as fractions of the capacity")
        .double().split(",").default(listOf(0.7, 0.9, 1.1, 1.7))
    private val groupsPerGateway by option(help = "Number of groups for each gateway").double().default(0.85)
    private val reportPeriod by option(help = "Seconds between two reports of the load").double().default(0.5)
    private val seconds by option(help = "Duration of a run in virtual seconds").double().default(12.0)
    private val seed by option(help = "Seed of the arrivals").int().default(1)

    override fun help(context: Context): String =
        "Replays arrivals in virtual time for three ways to choose a group: one dispatcher that knows every load, " +
            "the least loaded group of all, and the placement of the product."

    override fun run() {
        echo("gateways;groups;offered;way;in time;rejected by groups;busiest over mean;goodput")
        for (count in gateways) {
            for (utilization in utilizations) {
                val groups = maxOf(2, (count * groupsPerGateway).toInt())
                compare(ReplayedLoad(count, groups, utilization, seconds, reportPeriod = reportPeriod))
            }
        }
    }

    private fun compare(load: ReplayedLoad) {
        val single = load.copy(gateways = 1, reportDelay = 0.0)
        print(load, "one dispatcher", PlacementReplay(single, seed, PlacementReplay.leastLoaded(single)).run())
        print(load, "least loaded", PlacementReplay(load, seed, PlacementReplay.leastLoaded(load)).run())
        print(load, "placement", PlacementReplay(load, seed, PlacementReplay.placement(load)).run())
    }

    private fun print(load: ReplayedLoad, way: String, result: ReplayResult) {
        val figures = listOf(result.inTimeShare, result.wastedShare, result.busiestOverMean, result.goodput)
            .joinToString(";") { String.format(Locale.ROOT, "%.3f", it) }
        echo("${load.gateways};${load.groups};${load.utilization};$way;$figures")
    }
}

fun main(arguments: Array<String>) = PlacementReplayCommand().main(arguments)
