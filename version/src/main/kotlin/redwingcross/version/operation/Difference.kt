package redwingcross.version.operation

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import redwingcross.version.bundle.Bundle

/** A field in which two bundles differ: its path and its value in each bundle, null if it is absent there. */
@Serializable
data class Difference(val place: String, val before: String?, val after: String?) {
    override fun toString(): String = when {
        before == null -> "+ $place: $after"
        after == null -> "- $place: $before"
        else -> "~ $place: $before -> $after"
    }
}

/** Fields that identify the items of a list; the first one that an item has is used. */
private val identityFields = listOf("vm", "gateway", "model", "service", "customer", "server", "alias")

/** The differences between two bundles by path; list items are matched by their identifying field, not by position. */
fun bundleDifferences(before: Bundle?, after: Bundle): List<Difference> =
    compare("", before?.let(::encoded) ?: JsonNull, encoded(after))

private fun encoded(bundle: Bundle): JsonElement = completeJson.encodeToJsonElement(Bundle.serializer(), bundle)

private fun compare(place: String, before: JsonElement, after: JsonElement): List<Difference> = when {
    before == after -> emptyList()
    before is JsonObject && after is JsonObject -> compareMembers(place, before, after)
    before is JsonArray && after is JsonArray -> compareMembers(place, named(before), named(after))
    else -> listOf(Difference(place.ifEmpty { "bundle" }, shown(before), shown(after)))
}

private fun compareMembers(
    place: String,
    before: Map<String, JsonElement>,
    after: Map<String, JsonElement>,
): List<Difference> = (before.keys + after.keys).flatMap { name ->
    val path = if (place.isEmpty()) name else "$place.$name"
    compare(path, before[name] ?: JsonNull, after[name] ?: JsonNull)
}

private fun named(items: JsonArray): Map<String, JsonElement> =
    items.withIndex().associate { (index, item) -> (identity(item) ?: index.toString()) to item }

private fun identity(item: JsonElement): String? {
    val members = item as? JsonObject ?: return item.jsonPrimitive.content
    return identityFields.firstNotNullOfOrNull { members[it]?.jsonPrimitive?.content }
}

private fun shown(value: JsonElement): String? = if (value is JsonNull) null else value.toString()
