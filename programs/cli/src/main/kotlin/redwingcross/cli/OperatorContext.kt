package redwingcross.cli

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.ObjectKind
import redwingcross.request.MonotonicClock
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.AcceptedBundle
import redwingcross.version.control.BUNDLE_OBJECT
import redwingcross.version.control.CONTROL_KIND
import redwingcross.version.control.ControlState
import redwingcross.version.control.OVERRIDES_OBJECT
import redwingcross.version.control.Overrides
import redwingcross.version.operation.OperationResult
import redwingcross.version.operation.Proposal
import redwingcross.version.operation.ProposalId

internal val bundleKey = ObjectKey(CONTROL_KIND, BUNDLE_OBJECT)
internal val overridesKey = ObjectKey(CONTROL_KIND, OVERRIDES_OBJECT)

internal fun proposalKey(id: ProposalId) = ObjectKey(ObjectKind("proposals"), id.value)

/** Asks a process for its state dump; null when it does not answer in time. */
internal typealias ReadNodeState = suspend (Endpoint) -> JsonElement?

/** Sends an accepted change to a process, without waiting for its effect. */
internal typealias PushControl = suspend (Endpoint, ControlState) -> Unit

/** What the commands work with. */
internal class OperatorContext(
    val operator: String,
    val store: OperatorStore,
    val readState: ReadNodeState,
    val push: PushControl,
    val clock: MonotonicClock,
) {
    suspend fun accepted(): Reading<AcceptedBundle?> = store.read(bundleKey, AcceptedBundle.serializer())

    suspend fun overrides(): Reading<Overrides?> = store.read(overridesKey, Overrides.serializer())

    suspend fun proposal(id: ProposalId): Reading<Proposal?> = store.read(proposalKey(id), Proposal.serializer())

    suspend fun <T> change(
        key: ObjectKey,
        serializer: KSerializer<T>,
        decide: (T?, nonce: String) -> OperationResult<T>,
    ): ChangeResult<T> = store.change(key, serializer, decide)
}
