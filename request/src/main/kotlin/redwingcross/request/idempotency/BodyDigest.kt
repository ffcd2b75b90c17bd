package redwingcross.request.idempotency

import kotlinx.serialization.Serializable
import redwingcross.request.Customer
import redwingcross.request.IdempotencyKey
import redwingcross.request.service.ServiceCall
import java.nio.ByteBuffer
import java.security.MessageDigest

/** SHA-256 in hexadecimal of what a call asks for; two calls with one key must have the same digest. */
@Serializable
@JvmInline
value class BodyDigest(val value: String) {
    companion object {
        /** Covers service, method, path, content type and body. */
        fun of(call: ServiceCall): BodyDigest {
            val fields = listOf(call.service.value, call.method, call.path, call.contentType.orEmpty())
            return BodyDigest(sha256(fields.map { it.encodeToByteArray() } + call.body))
        }
    }
}

/** Name of the record of one key of one customer. The key is hashed because callers choose it freely. */
@JvmInline
value class RecordName(val value: String) {
    companion object {
        fun of(customer: Customer, key: IdempotencyKey) =
            RecordName("${customer.value}.${sha256(listOf(key.value.encodeToByteArray()))}")
    }
}

/** Each field is preceded by its length, so that no two lists of fields give the same input. */
private fun sha256(fields: List<ByteArray>): String {
    val digest = MessageDigest.getInstance("SHA-256")
    fields.forEach { field ->
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(field.size).array())
        digest.update(field)
    }
    return digest.digest().joinToString("") { "%02x".format(it) }
}
