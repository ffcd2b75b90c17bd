package redwingcross.connection.caller

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.http4k.core.Request
import org.http4k.core.Response
import redwingcross.request.Checked
import redwingcross.request.NotRunReason
import redwingcross.request.RequestId
import redwingcross.request.eventLine
import redwingcross.request.service.RequestedCall
import redwingcross.request.service.ResolvedCall
import redwingcross.request.slot.SlotRequest

/** Serves `POST /v1/chat/completions`. */
internal class ModelHandler(private val services: CallerServices) {
    fun handle(request: Request, id: RequestId): Response = when (val checked = check(request)) {
        is Checked.Invalid -> checked.findings.toProblem().copy(requestId = id.value).toResponse()
        is Checked.Valid -> {
            val (headers, completion) = checked.value
            when (val call = services.resolve(RequestedCall.OfModel(headers.customer, completion.model))) {
                is ResolvedCall.Resolved -> run(id, request, headers, completion, call)
                else -> call.toProblem("body.model").copy(requestId = id.value).toResponse(resolveRetryAfter)
            }
        }
    }

    private fun check(request: Request): Checked<Pair<CallerHeaders, ChatCompletion>> {
        val headers = request.callerHeaders()
        val completion = ChatCompletion.parse(request.bodyString())
        return if (headers is Checked.Valid && completion is Checked.Valid) {
            Checked.Valid(headers.value to completion.value)
        } else {
            val inHeaders = (headers as? Checked.Invalid)?.findings.orEmpty()
            val inBody = (completion as? Checked.Invalid)?.findings.orEmpty()
            Checked.Invalid(inHeaders + inBody)
        }
    }

    private fun run(
        id: RequestId,
        request: Request,
        headers: CallerHeaders,
        completion: ChatCompletion,
        call: ResolvedCall.Resolved,
    ): Response {
        val mailbox = services.budget.openMailbox()
            ?: return notRun(NotRunReason.QUEUE_FULL).copy(requestId = id.value).toResponse(resolveRetryAfter)
        val modelResponse = if (completion.isStream) {
            streamedResponse(id, call.service, mailbox)
        } else {
            bufferedResponse(id, call.service, mailbox, services.budget)
        }
        val slotRequest = SlotRequest(
            request = id,
            customer = call.customer,
            service = call.service,
            priority = call.priority + headers.priority,
            heldBytes = request.body.length ?: 0,
            deadline = services.clock.now() + minOf(headers.timeout ?: call.timeout, call.timeout),
        )
        val engineBody = completion.toEngineBody(call.service)
        val exchange = ModelExchange(services, slotRequest, engineBody, modelResponse.output, modelResponse.callerLoss)
        services.scope.launch(start = CoroutineStart.UNDISPATCHED) {
            runCatching { exchange.run() }.onFailure { failure ->
                callerLog.error(failure) { eventLine("request_failed", "request" to id) }
                modelResponse.fail(failure)
            }
        }
        return modelResponse.await()
    }
}
