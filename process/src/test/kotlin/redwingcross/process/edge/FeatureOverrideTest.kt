package redwingcross.process.edge

import redwingcross.request.Checked
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against an override that turns on what its text doesn't name, or hides a misspelt feature. */
class FeatureOverrideTest {
    private val automatic = EdgeFeatures(setOf(EdgeFeature.USAGE_REPORTS))

    private fun featuresBy(text: String): Set<EdgeFeature> =
        assertIs<Checked.Valid<FeatureOverride>>(FeatureOverride.parse(text, PLACE)).value.applyTo(automatic).enabled

    @Test
    fun `an override names exactly the features that are on`() {
        assertEquals(automatic.enabled, featuresBy("auto"))
        assertEquals(EdgeFeature.entries.toSet(), featuresBy("all"))
        assertEquals(emptySet(), featuresBy("none"))
        assertEquals(
            setOf(EdgeFeature.EVEN_PLACEMENT, EdgeFeature.SHARED_HEALTH),
            featuresBy("shared-health, even-placement"),
        )
    }

    @Test
    fun `each unknown feature is reported with the place of the option`() {
        val findings = assertIs<Checked.Invalid>(FeatureOverride.parse("even-placement,evn,", PLACE)).findings
        assertEquals(listOf(PLACE, PLACE), findings.map { it.place })
        assertEquals(listOf("\"evn\"", "\"\""), findings.map { it.message.substringBefore(" is not") })
    }

    private companion object {
        const val PLACE = "--features"
    }
}
