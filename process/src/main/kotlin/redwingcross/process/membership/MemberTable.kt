package redwingcross.process.membership

import redwingcross.request.ProcessName
import kotlin.time.Duration

/** The member table during one step: which changes are adopted and which are passed on. */
internal class MemberTable(
    private val settings: MembershipSettings,
    var state: MembershipState,
    private val now: Duration,
) {
    val effects = mutableListOf<MembershipEffect>()

    fun takeChanges(recipient: ProcessName, bytes: Int): List<MemberChange> {
        val limit = settings.retransmitFactor * log2(state.entries.size + 2)
        val taken = mutableListOf<MemberChange>()
        var left = bytes
        // A member hears first what this process believes about it, so that it can refute at once.
        val first = state.entries[recipient]?.takeIf { it.condition != MemberCondition.ALIVE }
        val queued = state.unsent.entries.sortedBy { it.value }.asSequence().mapNotNull { state.changeOf(it.key) }
        val candidates = sequenceOf(first?.toChange()).filterNotNull() + queued.filter { it.member.name != recipient }
        for (change in candidates.takeWhile { left >= SMALLEST_CHANGE }) {
            val size = settings.sizeOf(change)
            if (size <= left) {
                taken += change
                left -= size
            }
        }
        val sent = taken.map { it.member.name }.filter { it in state.unsent }
        val counts = state.unsent + sent.map { it to state.unsent.getValue(it) + 1 }
        state = state.copy(unsent = counts.filterValues { it < limit })
        return taken
    }

    fun queue(name: ProcessName) {
        state = state.copy(unsent = state.unsent + (name to 0))
    }

    fun put(entry: MemberEntry) {
        state = state.copy(entries = state.entries + (entry.member.name to entry))
        effects += MembershipEffect.Changed(entry)
    }

    fun adopt(change: MemberChange) {
        val name = change.member.name
        if (name == state.self.name) return hearAboutSelf(change)
        val known = state.entries[name]
        if (known == null) return insert(change)
        if (!change.replaces(known)) return
        val condition = if (change.condition == MemberCondition.DEAD) MemberCondition.SUSPECT else change.condition
        if (condition == known.condition && change.member == known.member) return
        put(MemberEntry(change.member, condition, now))
        queue(name)
    }

    /** Rows in the parts of the table in which [digest] differs from the [other] one. */
    fun changesAt(digest: TableDigest, other: TableDigest): List<MemberChange> =
        (state.entries.values.filter { it.shared }.map { it.toChange() } + state.selfChange())
            .filter { digest.differsAt(it.member.name, other) }

    private fun insert(change: MemberChange) {
        if (state.entries.size >= settings.maximumMembers) return
        val entry = MemberEntry(change.member, change.condition, now)
        put(entry)
        if (entry.isPresent) queue(change.member.name)
    }

    private fun hearAboutSelf(change: MemberChange) {
        val self = state.self
        val other = change.member
        if (other.start == self.start) {
            val isContradicted = other.incarnation == self.incarnation && change.condition > MemberCondition.ALIVE
            if (!state.hasLeft && (isContradicted || other.incarnation > self.incarnation)) raise(other.incarnation)
        } else if (!other.startsAfter(self)) {
            queue(self.name)
        } else if (change.condition <= MemberCondition.SUSPECT) {
            effects += MembershipEffect.Replaced(other)
        }
    }

    fun raise(above: Incarnation) {
        state = state.copy(self = state.self.copy(incarnation = above.next()))
        queue(state.self.name)
    }

    private companion object {
        /** Encoded bytes that every change needs; the queue isn't searched further when fewer are left. */
        const val SMALLEST_CHANGE = 40
    }
}

/** The smallest number of doublings that reaches [count]. */
internal fun log2(count: Int): Int = Int.SIZE_BITS - (count - 1).countLeadingZeroBits()
