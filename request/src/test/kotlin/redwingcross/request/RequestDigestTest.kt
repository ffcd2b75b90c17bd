package redwingcross.request

import redwingcross.request.forward.GenerationRequest
import redwingcross.request.forward.InboundRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against repeats of a request that two processes take for different ones, and against requests that meet. */
class RequestDigestTest {
    private val customer = Customer("clinic")
    private val body = "roof".encodeToByteArray()
    private val original = InboundRequest(AttemptId("1"), "POST", "host", "/brief?x=1", 8.seconds, "key-1", null)

    private fun InboundRequest.digest(
        customer: Customer? = this@RequestDigestTest.customer,
        body: ByteArray = this@RequestDigestTest.body,
    ) = identity(customer, body).traits.single { it is RequestDigest }

    @Test
    fun `a repeat has the digest of the request whatever else it changes`() {
        val repeats = listOf(
            original.copy(attempt = AttemptId("2")),
            original.copy(callerTimeout = null),
            original.copy(host = "10.0.0.7:8501"),
            original.copy(credential = "key-2"),
            original.copy(resumeAfter = 3),
            original.copy(generation = GenerationRequest(ModelName("m"), listOf(PromptPart("1a")))),
        )
        repeats.forEach { assertEquals(original.digest(), it.digest(), "$it") }
    }

    @Test
    fun `requests that differ in method, target, customer or body have different digests`() {
        val others = listOf(
            original.copy(method = "PUT").digest(),
            original.copy(target = "/brief?x=2").digest(),
            original.digest(customer = Customer("school")),
            original.digest(customer = null),
            original.digest(customer = Customer("")),
            original.digest(body = "roofs".encodeToByteArray()),
            original.digest(body = ByteArray(0)),
        )
        assertEquals(others.size + 1, (others + original.digest()).distinct().size)
    }

    @Test
    fun `the end of one field is not taken for the beginning of the next`() {
        val one = RequestDigest.of("POST", "/a", Customer("bc"), "d".encodeToByteArray())
        val other = RequestDigest.of("POST", "/ab", Customer("c"), "d".encodeToByteArray())
        assertNotEquals(one, other)
        assertNotEquals(one, RequestDigest.of("POST", "/a", Customer("b"), "cd".encodeToByteArray()))
    }

    @Test
    fun `an id is read back as the digest and reveals nothing of the request`() {
        val digest = RequestDigest.of("POST", "/brief", customer, body)
        assertEquals(digest, RequestTrait.of(digest.id))
        assertEquals(digest, RequestDigest.parse(digest.id))
        assertEquals(RequestDigest.LENGTH, digest.id.length)
        assertTrue(listOf("roof", "brief", "clinic").none { it in digest.id })
        listOf("1a", "request:", "request:short", digest.id + "A", digest.id.dropLast(1) + "/").forEach {
            assertNull(RequestDigest.parse(it), it)
        }
    }

    @Test
    fun `an anonymous request has the same digest with each unknown key`() {
        val identity = { key: String? -> original.copy(credential = key).identity(null, body).traits }
        assertEquals(identity(null), identity("unknown"))
    }
}
