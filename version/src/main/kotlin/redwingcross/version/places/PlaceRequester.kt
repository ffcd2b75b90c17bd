package redwingcross.version.places

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import redwingcross.request.BackendServer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a gateway chooses the group of a request at the moment. */
sealed interface PlaceDecision {
    /** The owner reserved a slot of the group led by [head]. */
    data class UseGrant(val head: BackendServer) : PlaceDecision

    /** The owner knows of no free slot and will grant one that comes free. */
    data object Wait : PlaceDecision

    /** The gateway chooses by itself from the reported load. */
    data object DecideLocally : PlaceDecision
}

/** A place that a gateway asked for; [Task] identifies the request that needs it. */
data class OpenPlace<Task>(
    val task: Task,
    val kind: PlaceKind,
    val askedAt: Duration,
    val stage: Stage,
    /** The head of the group whose slot was granted. */
    val head: BackendServer? = null,
) {
    enum class Stage { ASKED, QUEUED, GRANTED }
}

/**
 * What one gateway has asked of the owner of the places. Pure; the task that owns it sends the reports and answers its
 * timers.
 *
 * Answers an owner that is late, paused, killed or cut off: a request waits for its answer for [ANSWER_TIMEOUT] at
 * most, and after [MISSED_ANSWERS] answers missing in succession the gateway chooses by itself and asks only once each
 * [TRIAL_INTERVAL].
 */
data class PlaceRequester<Task>(
    val lastSequence: Long = 0,
    val open: PersistentMap<PlaceNumber, OpenPlace<Task>> = persistentHashMapOf(),
    /** Lease epoch of the newest owner that was asked or has answered. */
    val epoch: Long = 0,
    val missed: Int = 0,
    /** While the owner does not answer, no request asks before this time. */
    val nextTrialAt: Duration = Duration.ZERO,
) {
    /** Whether the owner has not answered for so long that requests don't wait for it. */
    val isOwnerLost: Boolean get() = missed >= MISSED_ANSWERS

    /** Number of places that a report counts as open. */
    val openNumbers: Set<PlaceNumber> get() = open.keys

    /** Whether a request of [kind] is to ask for a place at [now]. */
    fun asks(kind: PlaceKind, excluded: Set<BackendServer>, now: Duration): Boolean =
        now >= nextTrialAt && decide(kind, excluded) !is PlaceDecision.UseGrant

    /** Begins a report. */
    fun nextReport(): PlaceRequester<Task> = copy(lastSequence = lastSequence + 1)

    /** Begins a report in which [task] asks for a place; its number is [lastSequence]. */
    fun ask(task: Task, kind: PlaceKind, now: Duration): PlaceRequester<Task> {
        val next = nextReport()
        val place = OpenPlace(task, kind, now, OpenPlace.Stage.ASKED)
        val trial = if (isOwnerLost) now + TRIAL_INTERVAL else nextTrialAt
        return next.copy(open = withoutTask(task).open.put(PlaceNumber(next.lastSequence), place), nextTrialAt = trial)
    }

    /** Follows the lease to a new owner, which knows nothing of what the former one was asked. */
    fun ownedBy(owner: Long): PlaceRequester<Task> =
        if (owner <= epoch) this else copy(epoch = owner, open = persistentHashMapOf(), missed = 0)

    /** Applies an answer of the owner of [owner]; one of a former owner, or to an outdated request, is ignored. */
    fun answered(answer: PlaceAnswer, owner: Long): PlaceRequester<Task> {
        if (owner < epoch) return this
        val heard = copy(missed = 0, nextTrialAt = Duration.ZERO)
        val place = open[answer.number] ?: return heard
        val next = when (answer) {
            is PlaceAnswer.Granted ->
                open.put(answer.number, place.copy(stage = OpenPlace.Stage.GRANTED, head = answer.head))
            is PlaceAnswer.Queued -> open.put(answer.number, place.copy(stage = OpenPlace.Stage.QUEUED))
            is PlaceAnswer.Declined -> open.remove(answer.number)
        }
        return heard.copy(open = next)
    }

    /** The answer to [number] did not arrive in time. */
    fun timedOut(number: PlaceNumber, now: Duration): PlaceRequester<Task> {
        if (open[number]?.stage != OpenPlace.Stage.ASKED) return this
        val count = missed + 1
        if (count < MISSED_ANSWERS) return copy(open = open.remove(number), missed = count)
        return copy(open = persistentHashMapOf(), missed = count, nextTrialAt = now + TRIAL_INTERVAL)
    }

    /** How a request of [kind] that must not go to [excluded] is placed. */
    fun decide(kind: PlaceKind, excluded: Set<BackendServer>): PlaceDecision {
        val ofKind = open.values.filter { it.kind == kind }
        val head = ofKind.firstNotNullOfOrNull { place -> place.head?.takeIf { it !in excluded } }
        return when {
            head != null -> PlaceDecision.UseGrant(head)
            ofKind.any { it.stage == OpenPlace.Stage.QUEUED } -> PlaceDecision.Wait
            else -> PlaceDecision.DecideLocally
        }
    }

    /**
     * Records that [task] is sent to [head]. It may use a place that was granted for another request of the kind that
     * waits behind it; that one then keeps the place in the queue that [task] no longer needs.
     */
    fun sent(task: Task, head: BackendServer): PlaceRequester<Task> {
        val grants = open.entries.filter { it.value.head == head }
        val used = grants.firstOrNull { it.value.task == task } ?: grants.firstOrNull()
            ?: return withoutTask(task)
        val left = open.remove(used.key)
        val own = left.entries.firstOrNull { it.value.task == task } ?: return copy(open = left)
        return copy(open = left.put(own.key, own.value.copy(task = used.value.task)))
    }

    /** Gives up what was asked for [task], because it has ended or no longer waits. */
    fun withoutTask(task: Task): PlaceRequester<Task> {
        val own = open.entries.firstOrNull { it.value.task == task } ?: return this
        return copy(open = open.remove(own.key))
    }

    /** Gives up the grants that were not used, and what has waited longer than the owner remembers it. */
    fun withoutUnused(now: Duration): PlaceRequester<Task> {
        val unused = open.entries.filter {
            it.value.stage == OpenPlace.Stage.GRANTED || now - it.value.askedAt >= PlaceOwner.QUEUE_LIFETIME
        }
        return if (unused.isEmpty()) this else copy(open = unused.fold(open) { all, next -> all.remove(next.key) })
    }

    companion object {
        /** Round trips between gateways take 0.4 to 2.8 ms; the rest is for the event loops of both. */
        val ANSWER_TIMEOUT = 8.milliseconds

        /** A single answer may be lost or late; the third one missing in succession shows that the owner is gone. */
        const val MISSED_ANSWERS = 3

        /** One request in this time is delayed by [ANSWER_TIMEOUT] to find out whether the owner answers again. */
        val TRIAL_INTERVAL = 500.milliseconds
    }
}
