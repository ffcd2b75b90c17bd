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

/** Guards against operators who overwrite each other unseen and against versions that go back. */
class RollOutProperties {
    /** Each step lets one of three operators submit, sign off or roll out, over whatever that operator read last. */
    @Property(seed = "20261204", tries = 500)
    fun `a roll-out is only accepted over the version that its proposal was made over`(
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
    fun `a body that changed after the sign-off is refused`() {
        val signed = signed(proposal(1, null), 1)

        val tampered = signed.copy(bundle = document(2))

        assertIs<OperationResult.Conflict>(rollOut(null, tampered, "n"))
    }

    @Test
    fun `differences name the changed item and not its position`() {
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
