package redwingcross.process.membership

import redwingcross.request.ProcessName
import kotlin.time.Duration

/** Mutable member table of one step; adopts received changes and selects the changes to send. */
internal class MemberTable(
    private val settings: MembershipSettings,
    var state: MembershipState,
    private val now: Duration,
) {
    val effects = mutableListOf<MembershipEffect>()

    /** Selects changes of at most [bytes] encoded bytes for [recipient] and counts them as sent. */
    fun takeChanges(recipient: ProcessName, bytes: Int): List<MemberChange> {
        val limit = settings.retransmitFactor * log2(state.entries.size + 2)
        val taken = mutableListOf<MemberChange>()
        var left = bytes
        // The recipient's own entry comes first, so that it can refute a suspicion at once.
        val first = state.entries[recipient]?.takeIf { it.condition != MemberCondition.ALIVE }
        val queued = state.sendCounts.entries.sortedBy { it.value }.asSequence().mapNotNull { state.changeOf(it.key) }
        val candidates = sequenceOf(first?.toChange()).filterNotNull() + queued.filter { it.member.name != recipient }
        for (change in candidates.takeWhile { left >= SMALLEST_CHANGE }) {
            val size = settings.sizeOf(change)
            if (size <= left) {
                taken += change
                left -= size
            }
        }
        val sent = taken.map { it.member.name }.filter { it in state.sendCounts }
        val counts = state.sendCounts + sent.map { it to state.sendCounts.getValue(it) + 1 }
        state = state.copy(sendCounts = counts.filterValues { it < limit })
        return taken
    }

    /** Queues the newest change of [name] for sending. */
    fun queue(name: ProcessName) {
        state = state.copy(sendCounts = state.sendCounts + (name to 0))
    }

    fun put(entry: MemberEntry) {
        state = state.copy(entries = state.entries + (entry.member.name to entry))
        effects += MembershipEffect.Changed(entry)
    }

    /**
     * Applies a received change if it supersedes the current entry. A member that a peer declared dead is only
     * suspected here.
     */
    fun adopt(change: MemberChange) {
        val name = change.member.name
        if (name == state.self.name) return adoptChangeOfSelf(change)
        val known = state.entries[name]
        if (known == null) return insert(change)
        if (!change.replaces(known)) return
        val condition = if (change.condition == MemberCondition.DEAD) MemberCondition.SUSPECT else change.condition
        if (condition == known.condition && change.member == known.member) return
        put(MemberEntry(change.member, condition, now))
        queue(name)
    }

    /** Returns the entries in those parts of the table in which [digest] differs from [other]. */
    fun changesAt(digest: TableDigest, other: TableDigest): List<MemberChange> =
        (state.entries.values.filter { it.isShared }.map { it.toChange() } + state.selfChange())
            .filter { digest.differsAt(it.member.name, other) }

    private fun insert(change: MemberChange) {
        if (state.entries.size >= settings.maximumMembers) return
        val entry = MemberEntry(change.member, change.condition, now)
        put(entry)
        if (entry.isPresent) queue(change.member.name)
    }

    private fun adoptChangeOfSelf(change: MemberChange) {
        val self = state.self
        val other = change.member
        if (other.start == self.start) {
            val isDisputed = other.incarnation == self.incarnation && change.condition > MemberCondition.ALIVE
            if (!state.hasLeft && (isDisputed || other.incarnation > self.incarnation)) raiseAbove(other.incarnation)
        } else if (!other.startsAfter(self)) {
            queue(self.name)
        } else if (change.condition <= MemberCondition.SUSPECT) {
            effects += MembershipEffect.Replaced(other)
        }
    }

    /** Raises the incarnation of this process above [above] and queues the change. */
    fun raiseAbove(above: Incarnation) {
        state = state.copy(self = state.self.copy(incarnation = above.next()))
        queue(state.self.name)
    }

    private companion object {
        /** Minimum encoded size of a change; the search of the queue ends when fewer bytes are left. */
        const val SMALLEST_CHANGE = 40
    }
}

/** Returns the base-2 logarithm of [count], rounded up; [count] must be positive. */
internal fun log2(count: Int): Int = Int.SIZE_BITS - (count - 1).countLeadingZeroBits()
