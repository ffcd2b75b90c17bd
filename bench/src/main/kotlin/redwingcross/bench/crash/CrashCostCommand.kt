package redwingcross.bench.crash

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.measureTime

/** Prints what the decision about crashing parts of prompts costs a process with a full ledger. */
internal class CrashCostCommand : CliktCommand(name = "crash-cost") {
    private val crashes by option(help = "Crashes of the ledger").int().restrictTo(1..256).default(256)
    private val requests by option(help = "Requests at each engine that ended").int().restrictTo(1..24).default(12)
    private val parts by option(help = "Shared parts of each request").int().restrictTo(1..1_280).default(4)
    private val deadly by option(help = "Requests whose repeats end the engines").int().restrictTo(0..256).default(0)
    private val calls by option(help = "Measured calls of each function").int().restrictTo(1..100_000).default(200)
    private val seed by option(help = "Seed of the drawn parts").int().default(1)

    override fun help(context: Context): String =
        "Measures the functions of CrashAttribution on a ledger of the given size, without and with digests of " +
            "requests. Sockets and encoding are left out."

    override fun run() {
        echo("call;digests;microseconds, median;microseconds, maximum")
        val withoutAndWith = listOf(false, true).map {
            it to
                CrashCostScenario(crashes, requests, parts, it, deadly, seed).calls()
        }
        withoutAndWith.flatMap { (hasDigests, calls) -> calls.map { hasDigests to it } }
            .sortedBy { (_, call) -> call.name }
            .forEach { (hasDigests, call) -> print("${call.name};$hasDigests", measure(call)) }
    }

    private fun measure(call: MeasuredCall): List<Duration> {
        repeat(WARM_UP_CALLS) { call.call(call.input()) }
        return List(calls) { call.input().let { ledger -> measureTime { call.call(ledger) } } }
    }

    private fun print(name: String, times: List<Duration>) {
        val sorted = times.sorted()
        val figures = listOf(sorted[sorted.size / 2], sorted.last())
            .joinToString(";") { String.format(Locale.ROOT, "%.1f", it.inWholeNanoseconds / NANOSECONDS) }
        echo("$name;$figures")
    }

    private companion object {
        /** Calls before the JIT has compiled the code are excluded from the results. */
        const val WARM_UP_CALLS = 100
        const val NANOSECONDS = 1000.0
    }
}

fun main(arguments: Array<String>) = CrashCostCommand().main(arguments)
