package redwingcross.version.operation

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import redwingcross.request.Vm
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.control.AcceptedBundle
import java.security.MessageDigest

/** Identifies a proposal; chosen by the operator who submits it. */
@Serializable
@JvmInline
value class ProposalId(val value: String) {
    override fun toString(): String = value
}

/** The value of the platform object `proposals/{id}`: a validated bundle that awaits its sign-off. */
@Serializable
data class Proposal(
    val id: ProposalId,
    val bundle: Bundle,
    /** SHA-256 of [bundle], in hexadecimal. */
    val digest: String,
    /** Bundle version in force when the proposal was submitted; null before the first bundle. */
    val base: BundleVersion?,
    val submittedBy: String,
    /** Null until the proposal is signed off. */
    val signOff: SignOff? = null,
    /** Identifies the write, so that its writer recognises it after a lost answer. */
    val nonce: String,
)

/** An operator's approval of the bundle with exactly this [digest]. */
@Serializable
data class SignOff(val by: String, val digest: String)

/** Whether the result of an operation can be written, and if not, why. */
sealed interface OperationResult<out T> {
    /** [value] is to be written, on the condition that the object has not changed since it was read. */
    data class Write<T>(val value: T) : OperationResult<T>

    /** The requested state is already in effect; nothing needs to be written. */
    data object AlreadyDone : OperationResult<Nothing>

    /** The operation conflicts with another operator's, or a preceding step is missing; [reason] describes it. */
    data class Conflict(val reason: String) : OperationResult<Nothing>
}

/** Encodes default values too, so that a change of a default does not change the digest of existing bundles. */
internal val completeJson: Json = Json { encodeDefaults = true }

/** SHA-256 of the JSON form of [bundle], in hexadecimal. */
fun bundleDigest(bundle: Bundle): String = MessageDigest.getInstance("SHA-256")
    .digest(completeJson.encodeToString(Bundle.serializer(), bundle).encodeToByteArray())
    .joinToString("") { "%02x".format(it) }

/** Signs off a proposal. A second sign-off by another operator is a conflict whose reason names the first operator. */
fun signOff(proposal: Proposal, by: String, nonce: String): OperationResult<Proposal> {
    val existing = proposal.signOff
    return when {
        existing == null ->
            OperationResult.Write(proposal.copy(signOff = SignOff(by, proposal.digest), nonce = nonce))
        existing.by == by -> OperationResult.AlreadyDone
        else -> OperationResult.Conflict("proposal ${proposal.id} was already signed off by ${existing.by}")
    }
}

/** Accepts a signed-off proposal as the next version after [current]; versions never decrease. */
fun rollOut(current: AcceptedBundle?, proposal: Proposal, nonce: String): OperationResult<AcceptedBundle> {
    val signOff = proposal.signOff
    return when {
        signOff == null -> OperationResult.Conflict("proposal ${proposal.id} is not signed off")
        signOff.digest != bundleDigest(proposal.bundle) ->
            OperationResult.Conflict("the body of proposal ${proposal.id} is not the one that ${signOff.by} signed off")
        current != null && current.digest == proposal.digest && current.version != proposal.base ->
            OperationResult.AlreadyDone
        current?.version != proposal.base -> OperationResult.Conflict(staleBaseReason(current, proposal))
        current != null && movedVms(current, proposal).isNotEmpty() ->
            OperationResult.Conflict(
                "VMs can't change their availability zone in one step, because two zones would place them: " +
                    "${movedVms(current, proposal).joinToString()}; remove them first",
            )
        else -> OperationResult.Write(
            AcceptedBundle(
                version = BundleVersion((current?.version?.value ?: 0) + 1),
                bundle = proposal.bundle,
                digest = proposal.digest,
                signedOffBy = signOff.by,
                nonce = nonce,
            ),
        )
    }
}

private fun movedVms(current: AcceptedBundle, proposal: Proposal): List<Vm> {
    val zones = current.bundle.vms.associate { it.vm to it.zone }
    return proposal.bundle.vms.filter { entry -> zones[entry.vm]?.let { it != entry.zone } ?: false }.map { it.vm }
}

private fun staleBaseReason(current: AcceptedBundle?, proposal: Proposal): String {
    val inForce = current?.let { "version ${it.version}, signed off by ${it.signedOffBy}," } ?: "no version"
    val base = proposal.base?.let { "version $it" } ?: "no version"
    return "proposal ${proposal.id} was made over $base, but $inForce is in force; submit it again"
}
