package redwingcross.version.places

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import redwingcross.request.BackendServer
import redwingcross.request.ProcessName
import redwingcross.request.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A group whose slots the owner grants. */
data class OwnedGroup(
    val head: BackendServer,
    val slots: Int,
    /** Time that the group needs relative to others; 1 is the average. */
    val slowness: Double,
)

/** The groups of a kind that can take requests; null if the configuration has no model engines of its service. */
typealias GroupsOfKind = (PlaceKind) -> List<OwnedGroup>?

/** An answer of the owner and the gateway that gets it. */
data class AddressedAnswer(val gateway: ProcessName, val answer: PlaceAnswer)

/** Places of one gateway: requests in flight as it reported them, and grants that its reports don't include yet. */
data class GatewayPlaces(
    val start: GatewayStart,
    val sequence: Long,
    val held: Map<BackendServer, Int> = emptyMap(),
    val granted: PersistentMap<PlaceNumber, Grant> = persistentHashMapOf(),
) {
    data class Grant(val head: BackendServer, val at: Duration)

    fun withGrants(open: Set<PlaceNumber>): GatewayPlaces =
        copy(granted = granted.keys.fold(granted) { all, next -> if (next in open) all else all.remove(next) })
}

/** A request for which no group had a free slot. */
data class QueuedRequest(
    val gateway: GatewayStart,
    val number: PlaceNumber,
    val request: PlaceRequest,
    val until: Duration,
)

/** What the owner of the places knows. */
data class PlaceOwnerState(
    val gateways: PersistentMap<ProcessName, GatewayPlaces> = persistentHashMapOf(),
    /** Slots in use or granted, by the head of the group. */
    val taken: PersistentMap<BackendServer, Int> = persistentHashMapOf(),
    val queue: PersistentList<QueuedRequest> = persistentListOf(),
)

/**
 * Grants the slots of all groups to the gateways that ask for them, one for each request. Answers a load that many
 * gateways place at the same time, each with a few requests a second: what they know of each other is up to a second
 * old, so that some groups get more requests than they have slots while others idle. The owner counts each grant at
 * once, and gives the slot that comes free to the most urgent request, among equal ones to the one that has waited
 * longest.
 *
 * A gateway that does not hear the owner decides by itself; its next report or heartbeat includes what it has sent.
 * Two owners, or one that has just been paused, grant too much at worst: the queue and the limit of the engine remain.
 */
class PlaceOwner(private val groups: GroupsOfKind) {
    /** Applies a report; an outdated one is ignored. */
    fun reported(
        state: PlaceOwnerState,
        report: PlaceReport,
        now: Duration,
    ): Transition<PlaceOwnerState, AddressedAnswer> {
        val gateway = report.gateway
        val known = state.gateways[gateway.node]
        val isSameStart = known?.start == gateway
        val isOutdated = known != null &&
            gateway.unixMillis < known.start.unixMillis ||
            isSameStart &&
            report.sequence <= (known?.sequence ?: 0)
        if (isOutdated) return Transition(state)
        val before = known?.takeIf { isSameStart } ?: GatewayPlaces(gateway, 0)
        val next = before.copy(sequence = report.sequence, held = report.held)
            .withGrants(report.open)
        val queue = state.queue.removeAll {
            it.gateway.node == gateway.node && (it.gateway != gateway || it.number !in report.open)
        }
        val steps = Steps(state.withGateway(gateway.node, next).copy(queue = queue), now)
        steps.serveQueue()
        report.request?.let { steps.serve(gateway, PlaceNumber(report.sequence), it) }
        return steps.result()
    }

    /**
     * Applies the requests in flight of [node] by head from its heartbeat, so that those are known that it has sent
     * without asking, and slots are not lost with a lost report. Grants older than [GRANT_IN_TRANSIT] are among them or
     * were not used. With a later grant the heartbeat is ignored, because it can't be told whether it includes it.
     */
    fun loadReported(
        state: PlaceOwnerState,
        node: ProcessName,
        counts: Map<BackendServer, Int>,
        now: Duration,
    ): Transition<PlaceOwnerState, AddressedAnswer> {
        val known = state.gateways[node] ?: GatewayPlaces(GatewayStart(node, 0), 0)
        val isGrantInTransit = known.granted.values.any { now - it.at < GRANT_IN_TRANSIT }
        val next = known.copy(held = counts, granted = persistentHashMapOf())
        if (isGrantInTransit || next == known) return Transition(state)
        return Steps(state.withGateway(node, next), now).also { it.serveQueue() }.result()
    }

    /** Frees the places of a gateway that is no longer heard. */
    fun gatewayLost(
        state: PlaceOwnerState,
        node: ProcessName,
        now: Duration,
    ): Transition<PlaceOwnerState, AddressedAnswer> {
        if (node !in state.gateways) return Transition(state)
        val queue = state.queue.removeAll { it.gateway.node == node }
        return Steps(state.withGateway(node, null).copy(queue = queue), now).also { it.serveQueue() }.result()
    }

    private inner class Steps(private var state: PlaceOwnerState, private val now: Duration) {
        private val answers = ArrayList<AddressedAnswer>()
        private val known = HashMap<PlaceKind, List<OwnedGroup>?>()

        fun result() = Transition(state, answers)

        fun serve(gateway: GatewayStart, number: PlaceNumber, request: PlaceRequest) {
            if (groupsOf(request.kind).isNullOrEmpty()) return answer(gateway, PlaceAnswer.Declined(number))
            if (grant(gateway, number, request)) return
            if (state.queue.size >= QUEUE_CAPACITY) return answer(gateway, PlaceAnswer.Declined(number))
            val queued = QueuedRequest(gateway, number, request, now + QUEUE_LIFETIME)
            val next = state.queue.indexOfFirst { order.compare(it.request, request) > 0 }
            state = state.copy(queue = state.queue.add(if (next < 0) state.queue.size else next, queued))
            answer(gateway, PlaceAnswer.Queued(number))
        }

        fun serveQueue() {
            if (state.queue.isEmpty()) return
            val full = HashSet<PlaceKind>()
            val left = state.queue.filter { queued ->
                val kind = queued.request.kind
                when {
                    queued.until <= now -> false
                    // Its gateway serves the requests of a removed service by itself.
                    groupsOf(kind) == null -> {
                        answer(queued.gateway, PlaceAnswer.Declined(queued.number))
                        false
                    }
                    kind in full -> true
                    grant(queued.gateway, queued.number, queued.request) -> false
                    else -> true.also { full += kind }
                }
            }
            if (left.size < state.queue.size) state = state.copy(queue = left.toPersistentList())
        }

        private fun groupsOf(kind: PlaceKind) = known.getOrPut(kind) { groups(kind) }

        private fun grant(gateway: GatewayStart, number: PlaceNumber, request: PlaceRequest): Boolean {
            val limit = if (request.isResuming) RESUMING_LIMIT else 1.0
            val best = groupsOf(request.kind).orEmpty()
                .filter { it.head !in request.excluded && taken(it.head) < it.slots * limit }
                .minByOrNull { (taken(it.head) + 1) * it.slowness / it.slots }
                ?: return false
            val places = state.gateways[gateway.node]?.takeIf { it.start == gateway } ?: return false
            val grant = GatewayPlaces.Grant(best.head, now)
            state = state.withGateway(gateway.node, places.copy(granted = places.granted.put(number, grant)))
            answer(gateway, PlaceAnswer.Granted(number, best.head))
            return true
        }

        private fun taken(head: BackendServer) = state.taken[head] ?: 0

        private fun answer(gateway: GatewayStart, answer: PlaceAnswer) {
            answers += AddressedAnswer(gateway.node, answer)
        }
    }

    companion object {
        /** Order in which queued requests get places: those that would lose work first, then by priority. */
        private val order = compareBy<PlaceRequest> { !it.isResuming }.thenBy { it.priority }

        /** Requests in flight at a group that resuming requests may reach, as a multiple of its slots. */
        private const val RESUMING_LIMIT = 1.3

        /** Bounds the memory of the owner; a fleet of 150 gateways under overload has fewer waiting requests. */
        private const val QUEUE_CAPACITY = 2048

        /** Longer than a fresh request waits for a place; a gateway that still needs the place asks again. */
        val QUEUE_LIFETIME = 2.seconds

        /** Several times the way of a datagram between two gateways (1.4 ms at most), for busy event loops. */
        val GRANT_IN_TRANSIT = 20.milliseconds
    }
}

private fun PlaceOwnerState.withGateway(node: ProcessName, next: GatewayPlaces?): PlaceOwnerState {
    var counts = taken
    fun add(places: GatewayPlaces, sign: Int) {
        fun change(head: BackendServer, count: Int) {
            val left = (counts[head] ?: 0) + sign * count
            counts = if (left > 0) counts.put(head, left) else counts.remove(head)
        }
        places.held.forEach { (head, count) -> change(head, count) }
        places.granted.values.forEach { change(it.head, 1) }
    }
    next?.let { add(it, 1) }
    gateways[node]?.let { add(it, -1) }
    return copy(gateways = if (next == null) gateways.remove(node) else gateways.put(node, next), taken = counts)
}
