package redwingcross.edge

import redwingcross.process.edge.EventLog
import redwingcross.process.edge.FleetState
import redwingcross.request.ServiceName
import redwingcross.version.fleet.ConfigurationVersion
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.ServiceSpec
import kotlin.time.Duration

/** Logs what an update from the store changed in the view of the fleet. */
internal class FleetUpdateLog(private val events: EventLog) {
    private val scalingLogged = HashSet<ServiceName>()
    private val ignoredLogged = HashSet<ConfigurationVersion>()

    fun record(update: FleetUpdate, before: FleetState, after: FleetState, now: Duration) {
        val lostAt = before.storeLostAt
        when {
            // By content, because a configuration can change and keep its version.
            before.configuration != after.configuration -> {
                events.info("configuration_adopted", arrayOf("version" to after.configuration?.version?.value))
                after.configuration?.services?.values?.forEach(::recordScaling)
            }
            before.table.evacuatedZones != after.table.evacuatedZones -> recordZones(before, after)
            lostAt == null && after.storeLostAt != null -> events.warn("store_lost", arrayOf("news" to update))
            lostAt != null && after.storeLostAt == null ->
                events.info("store_regained", arrayOf("after" to (now - lostAt)))
            update is FleetUpdate.ConfigurationChanged -> recordIgnored(update.configuration.version, after)
            update is FleetUpdate.ServerRemoved -> events.info("back_end_removed", arrayOf("server" to update.server))
            update is FleetUpdate.ServerChanged && update.server.draining ->
                events.info("back_end_draining", arrayOf("server" to update.server.id))
            else -> Unit
        }
    }

    /** Logs the evacuated zones if they differ; after a restore they may change without an update from the store. */
    fun recordZones(before: FleetState, after: FleetState) {
        val zones = after.table.evacuatedZones
        if (before.table.evacuatedZones == zones) return
        events.info("zones_out", arrayOf("zones" to zones.joinToString(",")))
    }

    /** Logs that a configuration of the version [ignored] is not used, unless it is the current one listed again. */
    private fun recordIgnored(ignored: ConfigurationVersion, after: FleetState) {
        val current = after.configuration?.version ?: return
        if (ignored >= current || !ignoredLogged.add(ignored)) return
        events.warn("configuration_ignored", arrayOf("version" to ignored.value, "current" to current.value))
    }

    private fun recordScaling(service: ServiceSpec) {
        val scaling = service.scaling ?: return
        if (!scalingLogged.add(service.name)) return
        val detail = "back ends are not scaled by this version"
        events.warn(
            "scaling_not_supported",
            arrayOf("service" to service.name, "scaling" to scaling, "detail" to detail),
        )
    }
}
