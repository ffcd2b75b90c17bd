package redwingcross.version.forwarding

import redwingcross.connection.http.CallerExchange
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.RequestIdentity
import redwingcross.request.ServiceName
import redwingcross.request.forward.InboundRequest
import redwingcross.version.fleet.Route
import redwingcross.version.fleet.ServiceSpec
import kotlin.time.Duration

/** An admitted request with its route, service, customer and time of arrival. */
class ForwardJob(
    val exchange: CallerExchange,
    val request: InboundRequest,
    /** What the end of an engine under the request can be attributed to. */
    val identity: RequestIdentity,
    val route: Route,
    val service: ServiceName,
    /** Properties of [service] when the request was admitted; null if the configuration had no such service. */
    val admittedTo: ServiceSpec?,
    val customer: Customer?,
    /** 0 is the most urgent. The customer's priority takes precedence over that of the route. */
    val priority: Int,
    val arrivedAt: Duration,
) {

    /** Clock reading at which the caller or the route no longer waits for the response. */
    val deadline: Duration = arrivedAt + minOf(request.callerTimeout ?: route.timeout, route.timeout)

    /** What the request needs from the next back end that it is sent to, which must not be among [excluded]. */
    fun choiceRequest(excluded: Set<BackendServer>, isResuming: Boolean) =
        ChoiceRequest(service, request.generation?.model, excluded, isResuming, admittedTo)
}
