package redwingcross.version.bundle

import redwingcross.request.Checked
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against example bundles that are invalid or no longer have the size of the deployments they describe. */
class ExampleBundlesTest {
    @Test
    fun `the example bundles are valid and have the expected size`() {
        assertEquals(mapOf("zones" to 3, "vms" to 12, "gateways" to 3, "instances" to 3), sizes("demo"))
        listOf("khangai", "queensland").forEach { name ->
            assertEquals(mapOf("zones" to 3, "vms" to 60, "gateways" to 8, "instances" to 3), sizes(name))
        }
    }

    private fun sizes(name: String): Map<String, Int> {
        val file = File(checkNotNull(System.getProperty("redwingcross.root")), "examples/$name.yaml")
        val bundle = assertIs<Checked.Valid<Bundle>>(readBundle(file.readText())).value
        return mapOf(
            "zones" to bundle.zones.size,
            "vms" to bundle.vms.size,
            "gateways" to bundle.gateways.size,
            "instances" to bundle.services.sumOf { it.instances.size },
        )
    }
}
