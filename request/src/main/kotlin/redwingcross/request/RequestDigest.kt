package redwingcross.request

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64

/**
 * Identifies a whole request and its repeats: equal for equal method, target, customer and body, at every process. None
 * of these can be read from it.
 */
@JvmInline
value class RequestDigest(override val id: String) : RequestTrait {
    companion object {
        /** Tells the ids of whole requests from those of parts of prompts, which are hexadecimal. */
        const val PREFIX: String = "request:"

        /** Length of each [id]. */
        const val LENGTH: Int = PREFIX.length + 22

        /** 128 bits: a caller can't find another customer's request with the same digest. */
        private const val BYTES = 16

        /**
         * Returns the digest of a request for [target], the path and query. [customer] is the one that holds the key,
         * or null: a repeat may use another of its keys, and unknown keys must not make a request look new. Headers are
         * left out, because a repeat may change them: its id, its deadline, its last event, and the host, which may
         * name the process that it is sent to.
         */
        fun of(method: String, target: String, customer: Customer?, body: ByteArray): RequestDigest {
            val digest = MessageDigest.getInstance("SHA-256")
            listOf(method, target).forEach { digest.updateWithLength(it.encodeToByteArray()) }
            digest.updateWithLength(customer?.value?.encodeToByteArray() ?: ByteArray(0))
            digest.update(if (customer == null) 0 else 1)
            digest.update(body)
            val id = Base64.getUrlEncoder().withoutPadding().encodeToString(digest.digest().copyOf(BYTES))
            return RequestDigest(PREFIX + id)
        }

        /** Returns the digest with this [id]; null if it is none. */
        fun parse(id: String): RequestDigest? = id.takeIf(FORM::matches)?.let(::RequestDigest)

        private val FORM = Regex("$PREFIX[A-Za-z0-9_-]{22}")

        /** The length keeps the end of one field from being taken for the beginning of the next. */
        private fun MessageDigest.updateWithLength(bytes: ByteArray) {
            update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
            update(bytes)
        }
    }
}
