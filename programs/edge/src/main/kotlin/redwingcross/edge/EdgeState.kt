package redwingcross.edge

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import redwingcross.process.edge.FleetState
import redwingcross.process.edge.Peer
import redwingcross.version.fleet.FormedGroup
import kotlin.time.Duration

/** What one edge process believes at a moment, for the engineers on call. */
@Serializable
internal data class EdgeState(
    val node: String,
    /** Whether the process carries out the controller's duties. */
    val holdsDuties: Boolean,
    val configuration: Long?,
    /** How long ago each view was current; a view that was never read is missing. */
    val viewAgeMillis: Map<String, Long>,
    val zonesOut: List<String>,
    val requestsRunning: Int,
    val peers: List<PeerState>,
    val services: List<ServiceState>,
    /** Groups that this process forms, with their stage; empty unless it holds the duties. */
    val formation: List<GroupState>,
) {
    fun toJson(): String = json.encodeToString(serializer(), this)

    /** One line for each thing, for reading in a terminal. */
    fun toText(): String = buildString {
        appendLine("node=$node duties=$holdsDuties configuration=$configuration running=$requestsRunning")
        for ((view, age) in viewAgeMillis) appendLine("view=$view age=${age}ms")
        if (zonesOut.isNotEmpty()) appendLine("zones_out=${zonesOut.joinToString(",")}")
        for (peer in peers) appendLine("peer=${peer.node} silent=${peer.silentMillis}ms ready=${peer.ready}")
        for (service in services) {
            appendLine("service=${service.name} back_ends=${service.backEnds} without_group=${service.withoutGroup}")
            for (group in service.serving) appendLine("serving=${group.group} head=${group.head}")
        }
        for (group in formation) {
            appendLine("group=${group.group} stage=${group.stage} for=${group.sinceMillis}ms members=${group.members}")
        }
    }

    companion object {
        private val json = Json { prettyPrint = true }

        fun fromJson(text: String): EdgeState = json.decodeFromString(serializer(), text)
    }
}

@Serializable
internal data class PeerState(val node: String, val silentMillis: Long, val ready: Boolean)

@Serializable
internal data class ServiceState(
    val name: String,
    val backEnds: Int,
    val withoutGroup: Int,
    val serving: List<ServingState>,
)

@Serializable
internal data class ServingState(val group: String, val head: String)

@Serializable
internal data class GroupState(val group: String, val stage: String, val sinceMillis: Long, val members: String)

internal fun Peer.toState(now: Duration) =
    PeerState(record.node, (now - lastSeenAt).inWholeMilliseconds, heartbeat?.let { it.ready && !it.leaving } == true)

internal fun FormedGroup.toState(now: Duration) = GroupState(
    id.value,
    stage.name.lowercase(),
    (now - since).inWholeMilliseconds,
    members.joinToString(",") {
        it.value
    },
)

internal fun FleetState.serviceStates(now: Duration): List<ServiceState> =
    configuration?.services?.values.orEmpty().map { terms ->
        ServiceState(
            name = terms.name.value,
            backEnds = table.engines.values.count { it.status.service == terms.name },
            withoutGroup = table.enginesWithoutGroup(terms),
            serving = servingGroups(terms.name, now).map { ServingState(it.id.value, it.head.value) },
        )
    }
