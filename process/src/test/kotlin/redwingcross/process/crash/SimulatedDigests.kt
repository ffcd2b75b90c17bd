package redwingcross.process.crash

import redwingcross.request.RequestDigest
import redwingcross.request.RequestTrait
import kotlin.random.Random
import kotlin.time.Duration

/** The digests of the requests of a [CrashSimulation], and what else concerns whole requests, drawn apart from it. */
class SimulatedDigests(seed: Long) {
    private val random = Random(seed.inv())
    private val popularByKind = HashMap<Int, RequestTrait>()
    private var requests = 0

    /** Digests that many requests have, as those of a status call that is sent every second. */
    val popular: Collection<RequestTrait> get() = popularByKind.values

    /** Draws the digest of a request of [kind]: that of the kind's popular request in some cases, unless [isOwn]. */
    fun next(kind: Int, isOwn: Boolean): RequestTrait {
        val isPopular = random.nextInt(REQUESTS_PER_POPULAR) == 0 && !isOwn
        if (isPopular) return popularByKind.getOrPut(kind) { digest("popular-$kind") }
        return digest("request-${requests++}")
    }

    fun <T> choose(items: List<T>): T = items.random(random)

    /** Draws the time to the next repeat of [deadly], half to one and a half of its average. */
    fun pause(deadly: DeadlyRequest): Duration = deadly.pause * (0.5 + random.nextDouble())

    private fun digest(body: String) = RequestDigest.of("POST", "/simulated", null, body.encodeToByteArray())

    private companion object {
        const val REQUESTS_PER_POPULAR = 12
    }
}
