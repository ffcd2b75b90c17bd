package redwingcross.connection.caller

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status
import redwingcross.request.AvailabilityZone

/** A gateway that takes requests, as callers see it. */
@Serializable
data class CallerAddress(
    /** IP address and port, written `address:port`. */
    val address: String,
    val zone: AvailabilityZone,
)

/** The gateways that callers may use, and for how long they may keep this list, in seconds. */
@Serializable
data class CallerAddresses(val addresses: List<CallerAddress>, val lifetimeSeconds: Int = 10)

/** Lists the ready gateways. */
typealias ListCallerAddresses = () -> CallerAddresses

internal fun CallerAddresses.toResponse(): Response = Response(Status.OK)
    .header("Content-Type", "application/json")
    .body(addressesJson.encodeToString(this))

private val addressesJson = Json { encodeDefaults = true }
