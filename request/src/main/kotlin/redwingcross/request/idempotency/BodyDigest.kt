package redwingcross.request.idempotency

import kotlinx.serialization.Serializable
import redwingcross.request.Customer
import redwingcross.request.IdempotencyKey
import redwingcross.request.service.ServiceCall
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hexadecimal SHA-256 digest of the content of a call. Calls with the same key must have the same digest. */
@Serializable
@JvmInline
value class BodyDigest(val value: String) {
    companion object {
        /** Digest of service, method, path, content type and body. */
        fun of(call: ServiceCall): BodyDigest {
            val fields = listOf(call.service.value, call.method, call.path, call.contentType.orEmpty())
            return BodyDigest(sha256Hex(fields.map { it.encodeToByteArray() } + call.body))
        }
    }
}

/**
 * Name of the record of a customer's idempotency key. It contains a hash of the key, because keys are arbitrary text.
 */
@JvmInline
value class RecordName(val value: String) {
    companion object {
        fun of(customer: Customer, key: IdempotencyKey) =
            RecordName("${customer.value}.${sha256Hex(listOf(key.value.encodeToByteArray()))}")
    }
}

/** Each field is prefixed with its length, so that different lists of fields never result in the same input. */
private fun sha256Hex(fields: List<ByteArray>): String {
    val digest = MessageDigest.getInstance("SHA-256")
    fields.forEach { field ->
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(field.size).array())
        digest.update(field)
    }
    return digest.digest().joinToString("") { "%02x".format(it) }
}
