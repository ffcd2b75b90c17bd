package redwingcross.systemtests.soak

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against bugs that occur only when failures overlap. Edge processes are killed, terminated and paused while
 * faults are injected into their links, the store and the engines; the observations of callers and engines are checked
 * against the guarantees of the system. `-Dsoak.seeds=1-50` runs a range of seeds, `-Dsoak.seeds=fresh` a random one.
 */
class SoakTest {
    @Test
    fun `guarantees hold while processes, links, the store and engines fail at random`() {
        assertNoFindings(seeds(regressions + 1), Path.of("target", "soak"), SoakFaults::independentFaults)
    }

    /** Guards against orders and reports that are meant for an engine and reach the next one at its address. */
    @Test
    fun `no request runs in a group that counts the next engine at the address of a member`() {
        val folder = Path.of("target", "soak-engine-lives")
        val results = assertNoFindings(seeds(engineLifeSeeds), folder, SoakFaults::engineLifeFaults)
        assertTrue(results.any { run -> run.faults.any { "by reused-" in it } }, "no address was used again")
    }

    /** Guards against answers that are broken off although their engine goes on a moment later. */
    @Test
    fun `no answer is broken off while engines fall silent for a second beside changes of the configuration`() {
        assertNoFindings(seeds(silenceSeeds), Path.of("target", "soak-silence"), SoakFaults::soundEvents)
    }

    /** Guards against connections that a change of the configuration ends although whole requests were sent on them. */
    @Test
    fun `each request on a kept connection gets an answer beside changes of the configuration and pauses`() {
        assertNoFindings(seeds(configurationSeeds), Path.of("target", "soak-changes"), SoakFaults::configurationChanges)
    }

    /** Guards against state that is lost, taken back or read in the wrong order when the store has been restored. */
    @Test
    fun `guarantees hold while the store comes back from older copies`() {
        val results =
            assertNoFindings(seeds(restoreSeeds), Path.of("target", "soak-restore"), SoakFaults::restoreFaults)
        assertTrue(results.any { run -> run.faults.any { "restored" in it } }, "no store was restored")
    }

    private fun assertNoFindings(
        seeds: List<Long>,
        folder: Path,
        choose: (SoakFaults) -> SoakFaultMix,
    ): List<SoakResult> {
        val results = seeds.map { seed ->
            SoakRun(seed, folder, choose).use(SoakRun::run).also { result ->
                println(result.summary)
                (result.findings + if (result.findings.isEmpty()) emptyList() else result.faults).forEach(::println)
            }
        }
        val failed = results.filter { it.findings.isNotEmpty() }
        assertTrue(failed.isEmpty(), failed.joinToString("\n") { "${it.seed}: ${it.findings.take(5)}" })
        return results
    }

    private fun seeds(usual: List<Long>): List<Long> {
        val requested = System.getProperty("soak.seeds") ?: return usual
        if (requested == "fresh") return listOf(System.nanoTime())
        val bounds = requested.split('-').map(String::toLong)
        return (bounds.first()..bounds.last()).toList()
    }

    private companion object {
        /**
         * Seeds that have failed, each with its cause. 28: aborting an exchange on a socket that had just been closed
         * raised an exception, and the remaining streams were not moved.
         */
        val regressions = listOf(28L)

        val silenceSeeds = listOf(1L)
        val configurationSeeds = listOf(1L)
        val restoreSeeds = listOf(2L)

        /** Seeds on which orders and reports without `Expect-Instance` let a group open with an ended engine. */
        val engineLifeSeeds = listOf(1L, 4L)
    }
}
