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

/** Prints how the local and the shared decision about waiting and refusing serve the same load peak. */
internal class AdmissionReplayCommand : CliktCommand(name = "admission-replay") {
    private val gateways by option(help = "Numbers of gateways").int().split(",").default(listOf(8, 75, 109, 350))
    private val loads by option(help = "Mean loads as fractions of the capacity of all groups")
        .double().split(",").default(listOf(DEFAULT_LOAD))
    private val seeds by option(help = "Number of seeds, from 1 on, whose mean is printed").int().default(DEFAULT_SEEDS)

    override fun help(context: Context): String =
        "Replays a load that oscillates by 55% in 15 s while two of eleven groups are lost, in virtual time, for the " +
            "local and the shared decision, with known and with reported loads of the groups."

    override fun run() {
        echo("gateways;load;loads of groups;decision;in time;served;value;refused although a slot was free")
        for (count in gateways) {
            for (load in loads) {
                for (isLoadKnown in listOf(true, false)) {
                    val peak = ReplayedPeak(count, seed = 0, meanLoad = load, isLoadKnown = isLoadKnown)
                    print(peak, "local") { LocalAdmission(it).functions }
                    print(peak, "shared") { SharedAdmission(it).functions }
                }
            }
        }
    }

    private fun print(peak: ReplayedPeak, decision: String, admit: AdmitAtGateway) {
        val results = (1..seeds).map { AdmissionReplay(peak.copy(seed = it), admit).run() }
        val figures = listOf(
            results.map { it.inTimeShare },
            results.map { it.served },
            results.map { it.value },
            results.map { it.refusedWithFreeSlot.toDouble() / it.requests },
        ).joinToString(";") { String.format(Locale.ROOT, "%.4f", it.average()) }
        val loads = if (peak.isLoadKnown) "known" else "reported"
        echo("${peak.gateways};${peak.meanLoad};$loads;$decision;$figures")
    }

    private companion object {
        const val DEFAULT_LOAD = 0.75
        const val DEFAULT_SEEDS = 4
    }
}

fun main(arguments: Array<String>) = AdmissionReplayCommand().main(arguments)
