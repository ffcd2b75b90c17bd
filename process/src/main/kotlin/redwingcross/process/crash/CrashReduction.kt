package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.RequestTrait

/**
 * Reduces a crash to what fits into [room] bytes of a message that lists the traits [listed] already. Processes merge a
 * reduced crash like the one of a gateway that had fewer requests at the engine. Requests stay whole, because traits
 * that occur together must not look as if they occurred apart.
 */
internal class CrashReduction(private var room: Int, listed: Set<RequestTrait>) {
    private val listed = listed.toHashSet()

    /**
     * Returns [crash] with those requests that fit, or null if none does. First come the requests with an [explained]
     * trait, which prove a block, then cleared traits in half of the room that is left, then the other requests.
     */
    fun reduce(run: EngineRun, crash: Crash, explained: Set<RequestTrait>, rotation: EvidenceRotation): Crash? {
        room -= EvidenceSize.end(run)
        val requests = rotation.rotate(crash.requests.toList())
        val (proving, others) = requests.partition { (_, traits) -> traits.any(explained::contains) }
        val keptProving = proving.filter(::addIfRoom)
        val reserved = room / 2
        room -= reserved
        val cleared = rotation.rotate(crash.cleared.toList()).filterTo(HashSet()) {
            addIfRoom(setOf(it), EvidenceSize.INDEX)
        }
        room += reserved
        val kept = keptProving + others.filter(::addIfRoom)
        return if (kept.isEmpty() && cleared.isEmpty()) null else Crash(crash.at, kept.toMap(), cleared)
    }

    private fun addIfRoom(request: Pair<AttemptId, Set<RequestTrait>>): Boolean =
        addIfRoom(request.second, EvidenceSize.request(request.first, request.second.size))

    private fun addIfRoom(traits: Set<RequestTrait>, bytes: Int): Boolean {
        val unlisted = traits.filterNot(listed::contains)
        val size = bytes + unlisted.sumOf(EvidenceSize::trait)
        if (size > room) return false
        room -= size
        listed += unlisted
        return true
    }
}
