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

/** Requests the state dump of a process; null if it does not answer in time. */
internal typealias ReadNodeState = suspend (Endpoint) -> JsonElement?

/** Sends a control state to a process, without waiting until the process has adopted it. */
internal typealias PushControl = suspend (Endpoint, ControlState) -> Unit

/** Store, connections and options for the commands. */
internal class OperatorContext(
    val operator: String,
    val store: OperatorStore,
    val readState: ReadNodeState,
    val push: PushControl,
    val clock: MonotonicClock,
) {
    /** Reads the bundle in force; null if there is none. */
    suspend fun acceptedBundle(): ReadResult<AcceptedBundle?> = store.read(bundleKey, AcceptedBundle.serializer())

    /** Reads the overrides in force; null if there are none. */
    suspend fun overrides(): ReadResult<Overrides?> = store.read(overridesKey, Overrides.serializer())

    /** Reads a proposal; null if it does not exist. */
    suspend fun proposal(id: ProposalId): ReadResult<Proposal?> = store.read(proposalKey(id), Proposal.serializer())

    /** Changes an object; see [OperatorStore.change]. */
    suspend fun <T> change(
        key: ObjectKey,
        serializer: KSerializer<T>,
        decide: (T?, nonce: String) -> OperationResult<T>,
    ): ChangeResult<T> = store.change(key, serializer, decide)
}
