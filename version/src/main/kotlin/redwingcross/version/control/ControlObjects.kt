package redwingcross.version.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WatchEvent
import redwingcross.request.Vm
import redwingcross.request.eventLine
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}
private val json = Json { ignoreUnknownKeys = true }

/** Name of the object that holds the accepted bundle. */
const val BUNDLE_OBJECT = "bundle"

/** Name of the object that holds the overrides. */
const val OVERRIDES_OBJECT = "overrides"

/** Converts a watch event of kind `control`; null if it does not confirm the objects in force. */
internal fun controlMessage(event: WatchEvent, requestedAt: Duration): ControlMessage? = when (event) {
    is WatchEvent.Snapshot -> controlMessageOf(event.objects, requestedAt)
    is WatchEvent.Changed -> controlMessageOf(listOf(event.value), requestedAt)
    // The system never deletes these objects, so the node keeps the versions that it adopted.
    is WatchEvent.Deleted -> null
    WatchEvent.Unchanged -> ControlMessage.ControlReceived(null, null, requestedAt)
    is WatchEvent.Unavailable -> null
}

/** Converts a watch event of kind `vms`; null if it does not confirm the list in force. */
internal fun vmsMessage(event: WatchEvent, requestedAt: Duration): ControlMessage? = when (event) {
    is WatchEvent.Snapshot -> vmListMessageOf(event.objects, complete = true, requestedAt)
    is WatchEvent.Changed -> vmListMessageOf(listOf(event.value), complete = false, requestedAt)
    is WatchEvent.Deleted, WatchEvent.Unchanged -> ControlMessage.VmListReceived(
        emptyList(),
        complete = false,
        requestedAt,
    )
    is WatchEvent.Unavailable -> null
}

private fun controlMessageOf(objects: List<StoredObject>, requestedAt: Duration): ControlMessage? {
    val byName = objects.associateBy { it.key.name }
    val bundle = byName[BUNDLE_OBJECT]?.let { decode(it, AcceptedBundle.serializer()) ?: return null }
    val overrides = byName[OVERRIDES_OBJECT]?.let { decode(it, Overrides.serializer()) ?: return null }
    return ControlMessage.ControlReceived(bundle, overrides, requestedAt)
}

private fun vmListMessageOf(objects: List<StoredObject>, complete: Boolean, requestedAt: Duration): ControlMessage? {
    val vms = objects.map { stored ->
        val state = runCatching { stored.value.jsonObject["state"]?.jsonPrimitive?.content }.getOrNull()
        if (state == null) {
            logInvalidObject(stored.key, "no field state")
            return null
        }
        ListedVm(Vm(stored.key.name), stored.version.value, leaving = state == "leaving")
    }
    return ControlMessage.VmListReceived(vms, complete, requestedAt)
}

private fun <T : Any> decode(stored: StoredObject, format: DeserializationStrategy<T>): T? = try {
    json.decodeFromJsonElement(format, stored.value)
} catch (fault: SerializationException) {
    logInvalidObject(stored.key, fault.message)
    null
}

private fun logInvalidObject(key: ObjectKey, detail: String?) {
    logger.error { eventLine("control_object_invalid", "object" to key, "detail" to detail?.lineSequence()?.first()) }
}
