package redwingcross.connection.platform

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import redwingcross.request.Checked
import redwingcross.request.Finding

/** Version of a whole kind, which is the version of the latest write to any of its objects. */
@JvmInline
internal value class KindVersion(val value: Long)

/** One entry of a list or poll response: a stored object, or a deletion if [value] is null. */
internal class ListedObject(val key: ObjectKey, val version: ObjectVersion, val value: JsonElement?) {
    /** The stored object, or null for a deletion. */
    fun stored(): StoredObject? = value?.let { StoredObject(key, version, it) }
}

/** Decoded response to a list or a long poll. */
internal class ListedKind(val version: KindVersion, val objects: List<ListedObject>)

/** Decodes the response to a read of one object. */
internal fun decodeObject(key: ObjectKey, answer: ExchangeResult.Answer): Checked<StoredObject> {
    val version = answer.version?.toLongOrNull()
    val value = parse(answer.body)
    return if (version != null && value != null) {
        Checked.Valid(StoredObject(key, ObjectVersion(version), value))
    } else {
        Checked.Invalid(
            listOfNotNull(
                Finding("$key: X-Version", "not a number: ${answer.version}").takeIf { version == null },
                Finding("$key: body", "not JSON").takeIf { value == null },
            ),
        )
    }
}

/** Decodes the response to a list or a long poll. */
internal fun decodeList(kind: ObjectKind, answer: ExchangeResult.Answer): Checked<ListedKind> {
    val version = answer.kindVersion?.toLongOrNull()
        ?: return invalid("$kind: X-Kind-Version", "not a number: ${answer.kindVersion}")
    val entries = parse(answer.body) as? JsonArray ?: return invalid("$kind: body", "not a JSON list")
    val objects = entries.map { decodeEntry(kind, it) }
    val malformed = objects.indexOf(null)
    return if (malformed < 0) {
        Checked.Valid(ListedKind(KindVersion(version), objects.filterNotNull()))
    } else {
        invalid("$kind: body[$malformed]", "entry must have name, version, and either value or deleted")
    }
}

private fun decodeEntry(kind: ObjectKind, entry: JsonElement): ListedObject? {
    val fields = entry as? JsonObject ?: return null
    val name = (fields["name"] as? JsonPrimitive)?.contentOrNull ?: return null
    val version = (fields["version"] as? JsonPrimitive)?.longOrNull ?: return null
    val deleted = (fields["deleted"] as? JsonPrimitive)?.booleanOrNull == true
    val value = fields["value"]
    return if ((value == null) != deleted) null else ListedObject(ObjectKey(kind, name), ObjectVersion(version), value)
}

private fun parse(body: ByteArray): JsonElement? = try {
    Json.parseToJsonElement(body.decodeToString())
} catch (_: SerializationException) {
    null
}

private fun invalid(place: String, message: String) = Checked.Invalid(listOf(Finding(place, message)))
