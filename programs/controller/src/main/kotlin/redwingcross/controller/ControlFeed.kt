package redwingcross.controller

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.transform
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import redwingcross.connection.platform.ObjectKind
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WatchEvent
import redwingcross.connection.platform.WatchKind
import redwingcross.version.control.AcceptedBundle
import redwingcross.version.control.ControlState
import redwingcross.version.control.Overrides

/** Kind of the objects that hold the accepted bundle and the overrides. */
internal val CONTROL_KIND = ObjectKind("control")

private val log = KotlinLogging.logger {}
private val json = Json { ignoreUnknownKeys = true }

/** The control state each time that a part of it rises; a stale or older object is ignored. */
internal fun controlChanges(watch: WatchKind): Flow<ControlState> {
    var newest = ControlState()
    return watch(CONTROL_KIND).transform { event ->
        val next = event.objects().fold(newest, ControlState::adopting)
        if (next != newest) {
            newest = next
            emit(next)
        }
    }
}

internal fun WatchEvent.objects(): List<StoredObject> = when (this) {
    is WatchEvent.Snapshot -> objects
    is WatchEvent.Changed -> listOf(value)
    is WatchEvent.Deleted, WatchEvent.Unchanged, is WatchEvent.Unavailable -> emptyList()
}

private fun ControlState.adopting(stored: StoredObject): ControlState = when (stored.key.name) {
    "bundle" -> {
        val found = decoded(AcceptedBundle.serializer(), stored.value)
        if (found != null && (bundle?.version?.let { found.version > it } != false)) copy(bundle = found) else this
    }
    "overrides" -> {
        val found = decoded(Overrides.serializer(), stored.value)
        if (found != null && found.version > overrides.version) copy(overrides = found) else this
    }
    else -> this
}

private fun <T> decoded(serializer: DeserializationStrategy<T>, value: JsonElement): T? = try {
    json.decodeFromJsonElement(serializer, value)
} catch (e: SerializationException) {
    log.warn { "event=control-object-malformed detail=\"${e.message?.lineSequence()?.first()}\"" }
    null
}
