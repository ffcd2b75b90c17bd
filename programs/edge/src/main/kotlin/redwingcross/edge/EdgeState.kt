package redwingcross.edge

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import redwingcross.process.crash.BlockedTrait
import redwingcross.process.edge.FleetState
import redwingcross.process.edge.Peer
import redwingcross.version.fleet.FormedGroup
import kotlin.time.Duration

/** Snapshot of the state of an edge process, for the engineers on call. Its JSON field names are a public format. */
@Serializable
internal data class EdgeState(
    val node: String,
    /** Whether the process holds the controller role. */
    @SerialName("holdsDuties")
    val isActiveController: Boolean,
    val configuration: Long?,
    /** Time in milliseconds since each view of the store was last confirmed; without views that were never read. */
    val viewAgeMillis: Map<String, Long>,
    /** Zones that are taken out of service. */
    @SerialName("zonesOut")
    val evacuatedZones: List<String>,
    val requestsRunning: Int,
    val peers: List<PeerState>,
    val services: List<ServiceState>,
    /** Groups that this process forms, with their stage; empty unless it holds the controller role. */
    val formation: List<GroupState>,
    /** Parts of prompts and whole requests that no engine receives because engines ended under them. */
    val blockedParts: List<BlockedPartState> = emptyList(),
) {
    fun toJson(): String = json.encodeToString(serializer(), this)

    /** The state as lines of `key=value` pairs, one line for each view, peer, service and group. */
    fun toText(): String = buildString {
        appendLine("node=$node duties=$isActiveController configuration=$configuration running=$requestsRunning")
        for ((view, age) in viewAgeMillis) appendLine("view=$view age=${age}ms")
        if (evacuatedZones.isNotEmpty()) appendLine("zones_out=${evacuatedZones.joinToString(",")}")
        for (peer in peers) appendLine("peer=${peer.node} silent=${peer.silentMillis}ms ready=${peer.ready}")
        for (service in services) {
            appendLine("service=${service.name} back_ends=${service.backEnds} without_group=${service.withoutGroup}")
            for (group in service.serving) appendLine("serving=${group.group} head=${group.head}")
        }
        for (group in formation) {
            appendLine("group=${group.group} stage=${group.stage} for=${group.sinceMillis}ms members=${group.members}")
        }
        for (block in blockedParts) {
            val crashes = block.crashes.joinToString(",") { it.toText() }
            val attempts = block.attempts.joinToString(",")
            appendLine("blocked_part=${block.part} for=${block.forMillis}ms crashes=$crashes attempts=$attempts")
        }
    }

    companion object {
        private val json = Json { prettyPrint = true }

        fun fromJson(text: String): EdgeState = json.decodeFromString(serializer(), text)
    }
}

/** A peer and the time in milliseconds since its last heartbeat. */
@Serializable
internal data class PeerState(val node: String, val silentMillis: Long, val ready: Boolean)

/** The known back ends of a service, the number of engines without a group, and the groups that serve. */
@Serializable
internal data class ServiceState(
    val name: String,
    val backEnds: Int,
    val withoutGroup: Int,
    val serving: List<ServingState>,
)

/** A serving group and the engine that accepts its requests. */
@Serializable
internal data class ServingState(val group: String, val head: String)

/** A group that is being formed or serves, and the time in milliseconds that it has been in its stage. */
@Serializable
internal data class GroupState(val group: String, val stage: String, val sinceMillis: Long, val members: String)

/**
 * A blocked part or whole request, the time in milliseconds that it has been blocked, and the crashes and attempts that
 * accuse it.
 */
@Serializable
internal data class BlockedPartState(
    val part: String,
    val forMillis: Long,
    val crashes: List<CrashState>,
    val attempts: List<String>,
)

/** An engine that ended, and its start in Unix milliseconds; null if that was not known. */
@Serializable
internal data class CrashState(val engine: String, val start: Long?) {
    fun toText(): String = "$engine:${start ?: ""}"
}

internal fun BlockedTrait.toState() = BlockedPartState(
    trait.id,
    age.inWholeMilliseconds,
    crashes.map { CrashState(it.engine.value, it.start?.unixMillis) },
    attempts.map { it.value },
)

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
    configuration?.services?.values.orEmpty().map { spec ->
        ServiceState(
            name = spec.name.value,
            backEnds = table.engines.values.count { it.status.service == spec.name },
            withoutGroup = table.enginesWithoutGroup(spec),
            serving = servingGroups(spec.name, now).map { ServingState(it.id.value, it.head.value) },
        )
    }
