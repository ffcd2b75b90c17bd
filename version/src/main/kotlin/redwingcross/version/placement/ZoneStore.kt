package redwingcross.version.placement

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import redwingcross.connection.platform.ConditionalWrite
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.ObjectKind
import redwingcross.connection.platform.ObjectVersion
import redwingcross.connection.platform.PlatformResult
import redwingcross.connection.platform.PlatformStore
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WriteAnswer
import redwingcross.request.AvailabilityZone
import redwingcross.version.fleet.StorePosition
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.lease.StoredLease

/** Kind of the objects that hold a zone's [Placement]. */
val PLACEMENT_KIND = ObjectKind("placement")

/** Kind of the objects that hold a zone's [LeaseRecord]. */
val LEASE_KIND = ObjectKind("lease")

/** Reads and writes the lease and the placement of one zone and converts the results to messages. */
internal class ZoneStore(private val store: PlatformStore, zone: AvailabilityZone) {
    private val leaseKey = ObjectKey(LEASE_KIND, zone.value)
    private val placementKey = ObjectKey(PLACEMENT_KIND, zone.value)

    suspend fun readLease(effect: LeaseEffect.Read): LeaseMessage =
        when (val result = read(leaseKey, LeaseRecord.serializer())) {
            is PlatformResult.Answered ->
                LeaseMessage.ReadAnswered(
                    effect.call,
                    result.value?.let {
                        StoredLease(StorePosition.inFirstEra(it.first), it.second)
                    },
                )
            else -> LeaseMessage.ReadFailed(effect.call)
        }

    suspend fun writeLease(effect: LeaseEffect.Write): LeaseMessage {
        val value = objectJson.encodeToJsonElement(LeaseRecord.serializer(), effect.record)
        val expected = effect.expected?.let { ObjectVersion(it.revision.value) }
        return when (val result = store.write(ConditionalWrite.Put(leaseKey, expected, value))) {
            is PlatformResult.Unavailable -> LeaseMessage.WriteFailed(effect.call)
            is PlatformResult.OutcomeUnknown -> LeaseMessage.OutcomeUnknown(effect.call)
            is PlatformResult.Answered ->
                when (val answer = result.value) {
                    is WriteAnswer.Written ->
                        LeaseMessage.Written(effect.call, StorePosition.inFirstEra(answer.version.value))
                    WriteAnswer.Conflict -> LeaseMessage.Conflict(effect.call)
                }
        }
    }

    suspend fun readPlacement(effect: PlacementEffect.ReadPlacement): PlacementMessage =
        when (val result = read(placementKey, Placement.serializer())) {
            is PlatformResult.Answered ->
                PlacementMessage.ReadAnswered(
                    effect.call,
                    result.value?.let { StoredPlacement(PlacementVersion(it.first), it.second) },
                )
            else -> PlacementMessage.CallFailed(effect.call)
        }

    suspend fun writePlacement(effect: PlacementEffect.WritePlacement): PlacementMessage {
        val value = objectJson.encodeToJsonElement(Placement.serializer(), effect.placement)
        val expected = effect.expected?.let { ObjectVersion(it.value) }
        return when (val result = store.write(ConditionalWrite.Put(placementKey, expected, value))) {
            is PlatformResult.Unavailable -> PlacementMessage.CallFailed(effect.call)
            is PlatformResult.OutcomeUnknown -> PlacementMessage.OutcomeUnknown(effect.call)
            is PlatformResult.Answered ->
                when (val answer = result.value) {
                    is WriteAnswer.Written ->
                        PlacementMessage.Written(effect.call, PlacementVersion(answer.version.value))
                    WriteAnswer.Conflict -> PlacementMessage.Conflict(effect.call)
                }
        }
    }

    private suspend fun <T> read(key: ObjectKey, serializer: KSerializer<T>): PlatformResult<Pair<Long, T>?> =
        when (val result = store.read(key)) {
            is PlatformResult.Unavailable -> result
            is PlatformResult.OutcomeUnknown -> result
            is PlatformResult.Answered -> decoded(result.value, serializer)
        }

    private fun <T> decoded(found: StoredObject?, serializer: KSerializer<T>): PlatformResult<Pair<Long, T>?> = try {
        PlatformResult.Answered(
            found?.let { it.version.value to objectJson.decodeFromJsonElement(serializer, it.value) },
        )
    } catch (e: SerializationException) {
        PlatformResult.Unavailable("malformed object: ${e.message}")
    }
}

/** Unknown fields are ignored, so that processes of two releases can run side by side. */
internal val objectJson = Json { ignoreUnknownKeys = true }

/** The placement in a stored object of kind [PLACEMENT_KIND], or null if it is malformed. */
fun StoredObject.toStoredPlacement(): StoredPlacement? = try {
    val placement = objectJson.decodeFromJsonElement(Placement.serializer(), value)
    StoredPlacement(PlacementVersion(version.value), placement)
} catch (_: SerializationException) {
    null
}
