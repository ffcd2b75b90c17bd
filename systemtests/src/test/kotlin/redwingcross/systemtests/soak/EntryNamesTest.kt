package redwingcross.systemtests.soak

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import redwingcross.systemtests.platform.FabricStandin
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against one entry of the list of engines that stops the service: because of its name the list can't be read,
 * each request for it fails in this process, or another engine at its address turns all of them away. Another writer
 * adds entries between those of the engines, and real edge processes start while they stand.
 */
class EntryNamesTest {
    private val deployment = SoakDeployment(Path.of("target", "soak", "entry-names"), subnet = 250, nodeCount = 2)
    private val store = deployment.store

    /** An entry with all fields of a plain back end, at the address of another one. */
    private fun completeEntry(): JsonObject {
        val address = deployment.fabric.engines.getValue("app-a-0").address.listener
        return buildJsonObject {
            put("service", "app-a")
            put("addr", "127.0.0.1:${address.port}")
            put("zone", "zone-a")
            put("slots", 100)
            put("state", "ready")
            put("cold-remaining-ms", 0)
        }
    }

    private fun addForeignEntries() {
        val contents = listOf(JsonObject(emptyMap()), buildJsonObject { put("service", 7) })
        names.forEachIndexed { index, name -> store.put(FabricStandin.SERVERS, name, contents[index % contents.size]) }
        for (name in unsendableNames + copies) store.put(FabricStandin.SERVERS, name, completeEntry())
    }

    @Test
    fun `processes that start while entries have names of any characters serve requests`() {
        deployment.use {
            deployment.onLoop { store.pageSize = 1 }
            deployment.start()
            deployment.awaitServing()
            deployment.onLoop(::addForeignEntries)
            deployment.nodes.forEach { it.process?.kill() }
            deployment.nodes.forEach(EdgeNode::start)
            deployment.awaitServing()
            SoakCallers({ deployment.addresses }, seed = 1).use { callers ->
                Thread.sleep(LOAD_MILLIS)
                callers.close()
                val counts = callers.takeCounts()
                println("served=${counts.served} failures=${counts.failures}")
                assertTrue(counts.served >= MINIMUM_SERVED, "only ${counts.served} requests were served")
                assertTrue(counts.failed <= counts.served * MAXIMUM_FAILED_RATIO, "failed: ${counts.failures}")
                assertEquals(emptyList(), callers.findings + deployment.exceptions())
            }
        }
    }

    private companion object {
        val names = listOf(
            "&x", "+x", "#x", "%7a", "%zz", "?x", "=x", "/x", " ", "a x", "app-a-0 ", "engine-1&", "engine-1+",
            "engine-1#", "engine-1%", "engine-1%20", "engine-1\t", "\"x", "ä", "..",
        )

        /** Names that no header transports unchanged. */
        val unsendableNames =
            listOf("line\nbreak", "z\u0000", "名前", "\uD83D\uDE80", " blanks ", "x".repeat(3000))

        /** Names under which another engine answers than the one that is named. */
        val copies = listOf("&copy", "copy%20", "copy+")
        const val LOAD_MILLIS = 5_000L

        /** As in the phase without faults of [SoakRun]. */
        const val MAXIMUM_FAILED_RATIO = 0.05
        const val MINIMUM_SERVED = 60
    }
}
