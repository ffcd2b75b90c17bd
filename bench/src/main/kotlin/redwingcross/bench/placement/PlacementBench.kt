package redwingcross.bench.placement

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlin.time.Duration.Companion.hours

/** Prints the group downtime and the stranded accelerators for the placement decision and for the baseline. */
internal class PlacementBench : CliktCommand(name = "placement-bench") {
    private val hours by option(help = "Duration of a run in virtual hours").int().default(3)
    private val seeds by option(help = "Seeds of the fault scripts").long().split(",").default(listOf(1, 2))

    private val only by option(help = "Text that the names of the scenarios to run contain").default("")

    override fun help(context: Context): String =
        "Compares the placement decision with greedy placement and whole rebuilds, in virtual time."

    override fun run() {
        echo(
            "scenario;seed;strategy;group downtime (group-seconds);stranded (accelerator-seconds);most loads in a zone",
        )
        layouts().filter { only in it.name }.forEach { layout -> seeds.forEach { run(layout, it) } }
    }

    private fun run(layout: Layout, seed: Long) {
        val script = faultScript(layout, layout.faults, hours.hours, seed)
        val rebuild = layout.zones.map { RebuildStrategy(it, layout).strategy }
        val repair = layout.zones.map { RepairStrategy(it, layout).strategy }
        listOf("baseline" to rebuild, "placement" to repair).forEach { (name, strategies) ->
            val result = measurePlacement(layout, script, hours.hours, strategies)
            echo(
                "${layout.name};$seed;$name;${result.groupDowntime.toLong()};" +
                    "${result.strandedAccelerators.toLong()};${result.maxConcurrentLoads}",
            )
        }
    }

    /** The faults of a day at the size the design is for (8 losses, 220 restarts), compressed into one run. */
    private fun layouts() = listOf(
        Layout("60 engines, 3 zones, 4 spares a zone", 3, listOf(12, 8), 2, FaultCounts(3, 22, 20, 1)),
        Layout("600 engines, 5 zones, 8 spares in one domain", 5, List(5) { 24 }, 14, FaultCounts(8, 220, 60, 1)),
        Layout("600 engines, 5 zones, 4 spares in each domain", 5, List(6) { 20 }, 12, FaultCounts(8, 220, 60, 1)),
        Layout("600 engines, 5 zones, no spares", 5, List(5) { 24 }, 15, FaultCounts(8, 220, 60, 1)),
    )
}

fun main(args: Array<String>) = PlacementBench().main(args)
