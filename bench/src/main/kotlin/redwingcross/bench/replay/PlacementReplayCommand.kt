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
    private val fleets by option(help = "Fleets as gateways:groups:slots")
        .split(",").default(listOf("8:4:14", "75:36:14", "109:11:34", "350:75:34"))
    private val utilizations by option(help = "Offered loads in the mean as fractions of the capacity")
        .double().split(",").default(listOf(0.6, 0.75, 0.9))
    private val oscillation by option(help = "Amplitude of the load as a fraction of its mean").double().default(0.55)
    private val lostGroups by option(help = "Groups lost in the middle of a run").int().default(2)
    private val reportPeriod by option(help = "Seconds between two reports of the load").double().default(0.5)
    private val seconds by option(help = "Duration of a run in virtual seconds").double().default(30.0)
    private val seeds by option(help = "Seeds of the arrivals; figures are means").int().split(",")
        .default(listOf(1, 2, 3))

    private val ownerFaults by option(help = "Faults of the owner from 17 to 20 s, e.g. paused,killed,lossy,two_owners")
        .split(",").default(emptyList())

    override fun help(context: Context): String =
        "Replays arrivals in virtual time for the ways to choose a group: one dispatcher that knows every load, " +
            "the least loaded group of all, the placement of each gateway by itself, and the owner of the places."

    override fun run() {
        echo("gateways;groups;slots;offered;way;in time;wasted;busiest over mean;goodput;avoidable;node/s;busiest/s")
        for (fleet in fleets) {
            val (gateways, groups, slots) = fleet.split(":").map(String::toInt)
            for (utilization in utilizations) {
                compare(
                    ReplayedLoad(
                        gateways,
                        groups,
                        utilization,
                        seconds,
                        slots,
                        reportPeriod = reportPeriod,
                        oscillation = oscillation,
                        lostGroups = lostGroups,
                        groupLimit = 1.0,
                        wait = PlacementReplay.IN_TIME,
                        resends = 1,
                    ),
                )
            }
        }
    }

    private fun compare(load: ReplayedLoad) {
        val single = load.copy(gateways = 1, reportDelay = 0.0)
        val ways = listOf<Pair<String, (Int) -> PlacementReplay>>(
            "one dispatcher" to { PlacementReplay(single, it, PlacementReplay.leastLoaded(single)) },
            "least loaded" to { PlacementReplay(load, it, PlacementReplay.leastLoaded(load)) },
            "placement" to { PlacementReplay(load, it, PlacementReplay.placement(load)) },
            "owner of the places" to { PlacementReplay(load, it) { replay -> OwnedPlaces(replay).way } },
        ) + ownerFaults.map { "owner $it" to withFault(load, it) }
        for ((name, replay) in ways) {
            val results = seeds.map { replay(it).run() }
            fun mean(figure: (ReplayResult) -> Double) =
                String.format(Locale.ROOT, "%.3f", results.map(figure).average())
            val figures = listOf(
                mean { it.inTimeShare },
                mean { it.wastedShare },
                mean { it.busiestOverMean },
                mean { it.goodput },
                mean { it.avoidableShare },
                mean { it.messagesPerNode },
                mean { it.messagesAtBusiest },
            ).joinToString(";")
            echo("${load.gateways};${load.groups};${load.slots};${load.utilization};$name;$figures")
        }
    }

    private fun withFault(load: ReplayedLoad, kind: String): (Int) -> PlacementReplay = { seed ->
        val fault = OwnerFault(OwnerFault.Kind.valueOf(kind.uppercase()), FAULT_FROM, FAULT_UNTIL)
        PlacementReplay(load, seed) { replay -> OwnedPlaces(replay, fault).way }
    }

    private companion object {
        /** Around the second peak of a load that oscillates in 15 s. */
        const val FAULT_FROM = 17.0
        const val FAULT_UNTIL = 20.0
    }
}

fun main(arguments: Array<String>) = PlacementReplayCommand().main(arguments)
