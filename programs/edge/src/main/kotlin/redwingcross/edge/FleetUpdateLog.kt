package redwingcross.edge

import redwingcross.process.edge.EventLog
import redwingcross.process.edge.FleetState
import redwingcross.version.fleet.FleetUpdate
import kotlin.time.Duration

/** Logs what an update from the store changed in the view of the fleet. */
internal class FleetUpdateLog(private val events: EventLog) {
    fun record(update: FleetUpdate, before: FleetState, after: FleetState, now: Duration) {
        val lostAt = before.storeLostAt
        when {
            before.configuration !== after.configuration ->
                events.info("configuration_adopted", arrayOf("version" to after.configuration?.version?.value))
            before.table.evacuatedZones != after.table.evacuatedZones ->
                events.info("zones_out", arrayOf("zones" to after.table.evacuatedZones.joinToString(",")))
            lostAt == null && after.storeLostAt != null -> events.warn("store_lost", arrayOf("news" to update))
            lostAt != null && after.storeLostAt == null ->
                events.info("store_regained", arrayOf("after" to (now - lostAt)))
            update is FleetUpdate.ServerRemoved -> events.info("back_end_removed", arrayOf("server" to update.server))
            update is FleetUpdate.ServerChanged && update.server.draining ->
                events.info("back_end_draining", arrayOf("server" to update.server.id))
            else -> Unit
        }
    }
}
