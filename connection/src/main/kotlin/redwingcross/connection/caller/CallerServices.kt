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

/** What the handler of callers' requests needs from the rest of the gateway. */
class CallerServices(
    val slots: SlotSource,
    val resolve: ResolveRequest,
    val runNonIdempotent: RunNonIdempotent,
    val listAddresses: ListCallerAddresses,
    val runAttempt: RunModelAttempt,
    val cancelAttempt: CancelModelAttempt,
    val dispatch: DispatchOnce,
    /** Scope of the tasks of requests; it lives as long as the process, because calls outlive their callers. */
    val scope: CoroutineScope,
    val clock: MonotonicClock = MonotonicClock.system,
    val budget: ByteBudget = ByteBudget(),
    val modelLimits: ModelRequestLimits = ModelRequestLimits(),
    /** Never repeats an id, in this process or in others; a caller's request id has no part in it. */
    val newAttemptId: () -> AttemptId = { AttemptId(UUID.randomUUID().toString()) },
    val newRequestId: () -> RequestId = { RequestId(UUID.randomUUID().toString()) },
)
