package redwingcross.version.operation

import redwingcross.request.Checked
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.readBundle
import redwingcross.version.compareWithGolden
import redwingcross.version.control.AcceptedBundle
import redwingcross.version.control.ControlDecision
import redwingcross.version.control.ControlDecisionState
import redwingcross.version.control.ControlMessage
import redwingcross.version.control.Overrides
import redwingcross.version.control.ViewSettings
import java.io.File
import kotlin.test.Test
import kotlin.time.Duration.Companion.seconds

/** Guards against bundles that take effect without every step, and nodes that revert a bundle after a stale read. */
class BundleSessionTest {
    private val lines = mutableListOf<String>()
    private var current: AcceptedBundle? = null
    private var node = ControlDecisionState()
    private val decision = ControlDecision(ViewSettings(), seedPeers = 0, startedAt = 0.seconds)
    private var now = 0.seconds

    @Test
    fun `a bundle takes effect after validation, sign-off and roll-out and a stale read does not revert it`() {
        val text = File(checkNotNull(System.getProperty("redwingcross.root")), "examples/demo.yaml").readText()
        check(text.replace("zone: ub-a\n", "zone: ub-z\n"))
        val first = proposal("first", check(text))
        rollOut(first)
        val signed = sign(first, "ben")
        rollOut(signed)
        val outdated = current
        val second = sign(proposal("second", check(text.replace("warmLimit: 24", "warmLimit: 48"))), "ana")
        val racing = sign(proposal("racing", check(text.replace("warmLimit: 24", "warmLimit: 12"))), "ben")
        rollOut(second)
        rollOut(racing)
        receive(outdated, "an outdated read")
        rollOut(sign(proposal("rollback", check(text)), "ben"))
        compareWithGolden("bundle-session.txt", lines.joinToString("\n", postfix = "\n"))
    }

    private fun check(text: String): Bundle? = when (val checked = readBundle(text)) {
        is Checked.Valid -> checked.value.also { lines += "check: valid" }
        is Checked.Invalid -> null.also { lines += checked.findings.map { "check: $it" } }
    }

    private fun proposal(id: String, bundle: Bundle?): Proposal {
        checkNotNull(bundle)
        lines += "submit $id over ${current?.version ?: "none"}"
        lines += bundleDifferences(current?.bundle, bundle).filter { current != null }.map { "  $it" }
        return Proposal(ProposalId(id), bundle, bundleDigest(bundle), current?.version, "ana", null, "submit-$id")
    }

    private fun sign(proposal: Proposal, by: String): Proposal {
        val result = signOff(proposal, by, "sign-${proposal.id}") as OperationResult.Write
        lines += "sign-off ${proposal.id} by $by"
        return result.value
    }

    private fun rollOut(proposal: Proposal) {
        now += 10.seconds
        when (val result = rollOut(current, proposal, "roll-out-${proposal.id}")) {
            is OperationResult.Write -> {
                current = result.value
                lines += "roll-out ${proposal.id}: version ${result.value.version}"
                receive(current, "the watch")
            }
            is OperationResult.Conflict -> lines += "roll-out ${proposal.id}: conflict: ${result.reason}"
            OperationResult.AlreadyDone -> lines += "roll-out ${proposal.id}: in force already"
        }
    }

    private fun receive(bundle: AcceptedBundle?, source: String) {
        node = decision.step(node, ControlMessage.ControlReceived(bundle, Overrides(), now), now).state
        val limit = node.control.bundle?.bundle?.models?.first()?.warmLimit
        lines +=
            "at=$now node hears version ${bundle?.version} by $source: in force ${node.control.bundle?.version}, " +
            "warmLimit $limit"
    }
}
