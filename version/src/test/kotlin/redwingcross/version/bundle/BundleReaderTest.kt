package redwingcross.version.bundle

import redwingcross.request.AvailabilityZone
import redwingcross.request.Checked
import redwingcross.request.Vm
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against findings that are not reported, and against names that resolve to the wrong item. */
class BundleReaderTest {
    @Test
    fun `names of all schemes resolve to the canonical name`() {
        val bundle = assertIs<Checked.Valid<Bundle>>(readBundle(document())).value

        assertEquals(listOf(Vm("engine-1"), Vm("engine-2")), bundle.vms.map { it.vm })
        assertEquals(setOf(AvailabilityZone("north")), bundle.vms.map { it.zone }.toSet())
        assertEquals("engine-1", NameIndex.of(bundle).canonical(NameKind.VM, "A-0001"))
    }

    @Test
    fun `an ambiguous name is rejected where it is used and stays ambiguous in the accepted bundle`() {
        val clashing = document(secondZone = "- names: {plant: south, asset: north}")

        val findings = assertIs<Checked.Invalid>(readBundle(clashing)).findings
        assertTrue(findings.any { "means north, south in different schemes" in it.message }, findings.joinToString())

        val qualified = clashing.replace(
            "zone: north",
            "zone: plant:north",
        ).replace("{north: 1}", "{\"plant:north\": 1}")
        val bundle = assertIs<Checked.Valid<Bundle>>(readBundle(qualified)).value
        assertEquals(
            NameLookup.Ambiguous(listOf("north", "south")),
            NameIndex.of(bundle).lookup(NameKind.ZONE, "north"),
        )
    }

    @Test
    fun `all malformed fields are reported together with their path and line`() {
        val faulty = document()
            .replace("accelerators: 8, checksFencing", "accelerators: many, checksFencing")
            .replace("coldLimit: 2", "coldLimits: 2")
            .replace("zone: Z-1", "zone: Z-9")

        val places = assertIs<Checked.Invalid>(readBundle(faulty)).findings.map { it.place }

        assertEquals(
            setOf(
                "vms[0].accelerators (line 7)",
                "vms[1].zone (line 8)",
                "models[0].coldLimit (line 11)",
                "models[0].coldLimits (line 12)",
            ),
            places.toSet(),
        )
    }

    @Test
    fun `more groups than the fabric domains can hold are reported`() {
        val findings = assertIs<Checked.Invalid>(readBundle(document().replace("{north: 1}", "{north: 2}"))).findings

        assertEquals(listOf("models.briefing.groups.north"), findings.map { it.place })
    }

    @Test
    fun `a syntax error is reported with line and column`() {
        val findings = assertIs<Checked.Invalid>(readBundle("name: [unclosed\nregion: x")).findings

        assertTrue(findings.single().place.startsWith("line "), findings.joinToString())
    }

    private fun document(secondZone: String = "") =
        """
        name: test
        region: here
        schemes: [plant, asset]
        availabilityZones: [{names: {plant: north, asset: Z-1}}]
        vms:
        - {names: {plant: engine-1, asset: A-0001}, zone: north, fabricDomain: d, engine: "127.0.0.1:7001",
           accelerators: 8, checksFencing: false}
        - {names: {plant: engine-2, asset: A-0002}, zone: Z-1, fabricDomain: d, engine: "127.0.0.1:7002", accelerators: 8}
        gateways: [{name: gateway-1, zone: north, caller: "127.0.0.1:8001", peer: "127.0.0.1:8002"}]
        models:
        - {name: briefing, version: "1", vmsPerGroup: 2, groups: {north: 1},
           coldLimit: 2, warmLimit: 8}
        customers: [{name: school}]
        """.trimIndent().let {
            if (secondZone.isEmpty()) {
                it
            } else {
                it.replace(
                    "availabilityZones: [{names: {plant: north, asset: Z-1}}]",
                    "availabilityZones:\n- names: {plant: north, asset: Z-1}\n$secondZone",
                )
            }
        }
}
