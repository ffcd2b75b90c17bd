package redwingcross.connection.caller

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status
import redwingcross.request.AvailabilityZone

/** A gateway that accepts requests, as listed to callers. */
@Serializable
data class CallerAddress(
    /** IP address and port, written `address:port`. */
    val address: String,
    /** Zone in which the gateway runs. */
    val zone: AvailabilityZone,
)

/** Response body of `GET /addresses`: the gateways that callers can use and for how many seconds to cache the list. */
@Serializable
data class CallerAddresses(val addresses: List<CallerAddress>, val lifetimeSeconds: Int = 10)

/** Lists the gateways that are ready. */
typealias ListCallerAddresses = () -> CallerAddresses

internal fun CallerAddresses.toResponse(): Response = Response(Status.OK)
    .header("Content-Type", "application/json")
    .body(addressesJson.encodeToString(this))

private val addressesJson = Json { encodeDefaults = true }
