package redwingcross.process.node

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import redwingcross.process.gossip.PeerView
import redwingcross.version.control.ControlView
import kotlin.time.Duration

/** The control state as a section of a state dump, with the ages that determine whether it is fresh at [now]. */
fun controlSection(view: ControlView, now: Duration): JsonElement = buildJsonObject {
    put("bundle", view.control.bundle?.version?.value)
    put("bundleName", view.control.bundle?.bundle?.name)
    put("overrides", view.control.overrides.version.value)
    put("leavingVms", view.control.leaving.version.value)
    putJsonArray("zonesOut") { view.control.overrides.zonesOut.forEach { add(JsonPrimitive(it.value)) } }
    put("fresh", view.isFresh(now))
    put("confirmedAgeMillis", view.confirmedAt?.let { (now - it).inWholeMilliseconds })
    put("freshForMillis", view.freshUntil?.let { (it - now).inWholeMilliseconds })
}

/** The members that are present, as a section of a state dump. */
fun membersSection(view: PeerView): JsonElement = buildJsonArray {
    view.present().sortedBy { it.name.value }.forEach { member ->
        add(
            buildJsonObject {
                put("name", member.name.value)
                put("role", member.role.name.lowercase())
                put("zone", member.zone.value)
                put("peer", member.peer.value)
                put("availability", member.availability.name.lowercase())
                put("incarnation", member.incarnation.value)
            },
        )
    }
}
