package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.RequestDigest
import redwingcross.request.RequestTrait

/**
 * Reduces a crash to what fits into [room] bytes of a message that lists the traits [listed] already. Processes merge a
 * reduced crash like the one of a gateway that had fewer requests at the engine. Requests stay whole, because traits
 * that occur together must not look as if they occurred apart. Only a request that is larger than the room of a crash
 * is reported in part: first its [recurring] traits, then others in turn, so that repeated messages carry all of them.
 */
internal class CrashReduction(
    private var room: Int,
    listed: Set<RequestTrait>,
    private val recurring: Set<RequestTrait>,
    private val rotation: EvidenceRotation,
) {
    private val listed = listed.toHashSet()

    /**
     * Returns [crash] with those requests that fit, or null if none does. First come the requests with an [explained]
     * trait, which prove a block, then cleared traits in half of the room that is left, then the other requests.
     */
    fun reduce(run: EngineRun, crash: Crash, explained: Set<RequestTrait>): Crash? {
        room -= EvidenceSize.end(run)
        val whole = room
        val requests = rotation.rotate(crash.requests.toList())
        val (proving, others) = requests.partition { (_, traits) -> traits.any(explained::contains) }
        val keptProving = proving.mapNotNull { wholeOrPart(it, explained, whole) }
        val reserved = room / 2
        room -= reserved
        val cleared = rotation.rotate(crash.cleared.toList()).filterTo(HashSet()) {
            addIfRoom(setOf(it), EvidenceSize.INDEX)
        }
        room += reserved
        val (suspected, unsuspected) = others.partition { (_, traits) -> traits.any(recurring::contains) }
        val kept = keptProving + (suspected + unsuspected).mapNotNull { wholeOrPart(it, explained, whole) }
        return if (kept.isEmpty() && cleared.isEmpty()) null else Crash(crash.at, kept.toMap(), cleared)
    }

    /** Returns [request], what fits of it if it is larger than the [largest] room of a crash, or null. */
    private fun wholeOrPart(
        request: Pair<AttemptId, Set<RequestTrait>>,
        explained: Set<RequestTrait>,
        largest: Int,
    ): Pair<AttemptId, Set<RequestTrait>>? {
        val (attempt, traits) = request
        if (addIfRoom(traits, EvidenceSize.request(attempt, traits.size))) return request
        val size = EvidenceSize.request(attempt, traits.size) + traits.sumOf(EvidenceSize::trait)
        if (size <= largest || EvidenceSize.request(attempt, 1) > room) return null
        room -= EvidenceSize.request(attempt, 0)
        val part = inOrder(traits, explained).filterTo(LinkedHashSet()) { addIfRoom(setOf(it), EvidenceSize.INDEX) }
        return if (part.isEmpty()) null else attempt to part
    }

    private fun inOrder(traits: Set<RequestTrait>, explained: Set<RequestTrait>): List<RequestTrait> {
        val (proving, others) = traits.partition { it in explained }
        val (known, unknown) = others.partition { it is RequestDigest || it in recurring }
        val stride = room / (EvidenceSize.INDEX + traits.maxOf(EvidenceSize::trait))
        return proving + rotation.rotate(known, stride) + rotation.rotate(unknown, stride)
    }

    private fun addIfRoom(traits: Set<RequestTrait>, bytes: Int): Boolean {
        val unlisted = traits.filterNot(listed::contains)
        val size = bytes + unlisted.sumOf(EvidenceSize::trait)
        if (size > room) return false
        room -= size
        listed += unlisted
        return true
    }
}
