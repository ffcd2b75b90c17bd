package redwingcross.version.operation

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.bundle
import redwingcross.version.control.AcceptedBundle
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against operators who silently overwrite each other's bundles and against versions that decrease. */
class RollOutProperties {
    /** In each step one of three operators submits, signs off or rolls out a proposal based on what it last read. */
    @Property(seed = "20261204", tries = 500)
    fun `a roll-out is accepted only if the version in force is the base of its proposal`(
        @ForAll @Size(max = 60) steps: List<Int>,
    ) {
        var current: AcceptedBundle? = null
        val proposals = arrayOfNulls<Proposal>(3)
        steps.map { it.mod(12) }.forEachIndexed { step, choice ->
            val operator = choice % 3
            val proposal = proposals[operator]
            when (choice / 3) {
                0 -> proposals[operator] = proposal(step, current)
                1 -> proposals[operator] = proposal?.let { signed(it, operator) }
                else -> if (proposal != null) {
                    val result = rollOut(current, proposal, nonce = "$step")
                    if (result is OperationResult.Write) {
                        assertEquals(current?.version, proposal.base)
                        assertEquals((current?.version?.value ?: 0) + 1, result.value.version.value)
                        assertEquals(proposal.digest, proposal.signOff?.digest)
                        current = result.value
                    }
                }
            }
        }
    }

    @Test
    fun `a bundle that changed after the sign-off is rejected`() {
        val signed = signed(proposal(1, null), 1)

        val tampered = signed.copy(bundle = document(2))

        assertIs<OperationResult.Conflict>(rollOut(null, tampered, "n"))
    }

    @Test
    fun `differences identify a changed list item by its name and not by its position`() {
        val before = bundle("b") { customer("school", weight = 1) }
        val after = bundle("b") {
            customer("clinic")
            customer("school", weight = 2)
        }

        val differences = bundleDifferences(before, after).map { it.toString() }

        assertEquals("~ customers.school.weight: 1 -> 2", differences.first())
        assertEquals(2, differences.size, differences.joinToString())
    }

    private fun signed(proposal: Proposal, operator: Int): Proposal =
        when (val result = signOff(proposal, "operator-$operator", "signed")) {
            is OperationResult.Write -> result.value
            else -> proposal
        }

    private fun proposal(step: Int, current: AcceptedBundle?): Proposal {
        val body = document(step)
        return Proposal(ProposalId("p$step"), body, bundleDigest(body), current?.version, "someone", null, "n$step")
    }

    private fun document(step: Int): Bundle = bundle("b$step") { customer("school") }
}
