package redwingcross.connection.caller

import kotlinx.coroutines.CoroutineScope
import redwingcross.request.AttemptId
import redwingcross.request.MonotonicClock
import redwingcross.request.RequestId
import redwingcross.request.model.CancelModelAttempt
import redwingcross.request.model.ModelRequestLimits
import redwingcross.request.model.RunModelAttempt
import redwingcross.request.service.DispatchOnce
import redwingcross.request.service.ResolveRequest
import redwingcross.request.service.RunNonIdempotent
import redwingcross.request.slot.SlotSource
import java.util.UUID

/** Dependencies of [callerHandler]. */
class CallerServices(
    val slots: SlotSource,
    val resolve: ResolveRequest,
    val runNonIdempotent: RunNonIdempotent,
    val listAddresses: ListCallerAddresses,
    val runAttempt: RunModelAttempt,
    val cancelAttempt: CancelModelAttempt,
    val dispatch: DispatchOnce,
    /** Scope of the request tasks. It must last as long as the process, because calls outlast their callers. */
    val scope: CoroutineScope,
    val clock: MonotonicClock = MonotonicClock.system,
    /** Memory for output that has not been written to callers yet. */
    val budget: ByteBudget = ByteBudget(),
    val modelLimits: ModelRequestLimits = ModelRequestLimits(),
    /** Returns an id that is unique over all processes and does not depend on the caller's request id. */
    val newAttemptId: () -> AttemptId = { AttemptId(UUID.randomUUID().toString()) },
    /** Returns an id for a request whose caller sent none. */
    val newRequestId: () -> RequestId = { RequestId(UUID.randomUUID().toString()) },
)
