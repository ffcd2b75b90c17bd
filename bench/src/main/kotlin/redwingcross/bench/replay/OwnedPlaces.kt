package redwingcross.bench.replay

import redwingcross.process.edge.PlaceCodec
import redwingcross.process.edge.PlaceMessage
import redwingcross.process.edge.PlaceNetwork
import redwingcross.process.edge.PlaceResult
import redwingcross.process.edge.PlaceTask
import redwingcross.request.BackendServer
import redwingcross.request.ModelName
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.places.GatewayStart
import redwingcross.version.places.OwnedGroup
import redwingcross.version.places.PlaceDecision
import redwingcross.version.places.PlaceKind
import redwingcross.version.places.PlaceRequest
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What goes wrong with the owner of the places in a replay, from [from] to [until] in virtual seconds. */
internal data class OwnerFault(val kind: Kind, val from: Double, val until: Double) {
    enum class Kind {
        /** The owner handles its messages at the end only, and believes for a while then that it is still the owner. */
        PAUSED,

        /** The owner never answers again. */
        KILLED,

        /** All messages are lost, and nobody takes over. */
        UNREACHABLE,

        /** A fifth of the messages is lost and the others arrive up to 20 ms late. */
        LOSSY,

        /** Half of the gateways follow another process, which also believes that it is the owner. */
        TWO_OWNERS,
    }

    operator fun contains(time: Double) = time in from..until
}

/**
 * The product's owner of the places, with a [PlaceTask] in each gateway of a replay. Gateway 0 is the owner, and
 * gateway 1 takes over [TAKEOVER] seconds after gateway 0 was paused or killed.
 */
internal class OwnedPlaces(private val replay: PlacementReplay, private val fault: OwnerFault? = null) {
    private val load = replay.load
    private val choose = ReplayedWay.placement(load)
    private val kind = PlaceKind(ServiceName("service"), ModelName("model"))
    private val heads = List(load.groups) { BackendServer("engine-$it") }
    private val indices = heads.withIndex().associate { it.value to it.index }
    private val tasks = List(load.gateways, ::task)

    /** Answers by result, over all gateways. */
    val results = HashMap<PlaceResult, Int>()

    /** Bytes of all messages. */
    var bytes = 0L
        private set

    val way = ReplayedWay(::place, freed = { tasks[it].placeFreed() }, refused = { at, task -> tasks[at].ended(task) })

    init {
        replay.at(CHECK_PERIOD, ::check)
        replay.at(0.0, ::sendHeartbeats)
    }

    private fun task(gateway: Int): PlaceTask<Any> {
        val network = PlaceNetwork(
            self = GatewayStart(ProcessName("gateway-$gateway"), 1),
            ownerEpoch = { epochOf(ownerOf(gateway)) },
            ownEpoch = { epochOf(gateway).takeIf { believesToOwn(gateway) } },
            fleetSize = { load.gateways },
            sendToOwner = { send(gateway, ownerOf(gateway), it) },
            sendToGateway = { node, answer -> send(gateway, node.value.substringAfter('-').toInt(), answer) },
            count = { results.merge(it, 1, Int::plus) },
        )
        return PlaceTask<Any>(
            network,
            MonotonicClock { replay.now.seconds },
            { delay, action ->
                replay.at(replay.now + delay.toDouble(DurationUnit.SECONDS), action)
                CancelTimer {}
            },
            { held(gateway) },
            { heads.filterIndexed { index, _ -> index !in replay.knownLost }.map { OwnedGroup(it, load.slots, 1.0) } },
        ) { _, _ -> }.also { it.onPlaceGranted = { replay.serveLine(gateway) } }
    }

    private fun held(gateway: Int) = replay.own(gateway).withIndex().filter { it.value > 0 }
        .associate { heads[it.index] to it.value }

    private val hasTakenOver
        get() = fault != null && fault.kind in TAKEN_OVER && replay.now >= fault.from + TAKEOVER

    private fun ownerOf(gateway: Int): Int = when {
        hasTakenOver -> 1
        fault?.kind == OwnerFault.Kind.TWO_OWNERS && replay.now in fault -> gateway % 2
        else -> 0
    }

    private fun epochOf(gateway: Int): Long = if (gateway == 0) 1 else 2

    private fun believesToOwn(gateway: Int): Boolean = when (gateway) {
        0 -> !hasTakenOver || replay.now < (fault?.until ?: 0.0) + BELIEF_AFTER_PAUSE
        1 -> hasTakenOver || fault?.kind == OwnerFault.Kind.TWO_OWNERS && replay.now in fault
        else -> false
    }

    private fun send(sender: Int, receiver: Int, message: PlaceMessage) {
        bytes += PlaceCodec.encode(message).size
        replay.message(sender, receiver) { deliver(receiver, message) }
    }

    private fun deliver(receiver: Int, message: PlaceMessage) {
        val isOwnerHit = fault != null && receiver == 0 && replay.now in fault
        when {
            isOwnerHit && fault.kind == OwnerFault.Kind.PAUSED ->
                replay.at(fault.until + LATE * replay.random.nextDouble()) { tasks[0].received(message) }
            fault?.kind == OwnerFault.Kind.UNREACHABLE && replay.now in fault -> Unit
            fault?.kind == OwnerFault.Kind.KILLED && receiver == 0 && replay.now >= fault.from -> Unit
            fault?.kind == OwnerFault.Kind.LOSSY && replay.now in fault ->
                if (replay.random.nextInt(LOSS_DIVISOR) > 0) {
                    replay.at(replay.now + LATE * replay.random.nextDouble()) { tasks[receiver].received(message) }
                }
            else -> tasks[receiver].received(message)
        }
    }

    private fun place(request: ReplayedPlacement) {
        val places = tasks[request.gateway]
        val excluded = if (request.excluded >= 0) setOf(heads[request.excluded]) else emptySet()
        val asked = PlaceRequest(kind, excluded)
        if (request.isWaiting && choose(request, asked) < 0) return
        places.prepare(request.task, asked) {
            val group = choose(request, asked)
            if (request.placed(group) && group >= 0) places.sent(request.task, heads[group])
        }
    }

    private fun choose(request: ReplayedPlacement, asked: PlaceRequest): Int =
        when (val decision = tasks[request.gateway].decide(asked)) {
            is PlaceDecision.UseGrant -> indices.getValue(decision.head)
            PlaceDecision.Wait -> -1
            PlaceDecision.DecideLocally ->
                ReplayedWay.chooseLocally(replay, choose, request.gateway, request.excluded)
        }

    private fun check() {
        replay.at(replay.now + CHECK_PERIOD, ::check)
        tasks.forEach { it.check() }
    }

    /** The heartbeats that are sent without this way too; not counted as its messages. */
    private fun sendHeartbeats() {
        replay.at(replay.now + HEARTBEAT_PERIOD, ::sendHeartbeats)
        for (gateway in tasks.indices) {
            val counts = held(gateway)
            val owner = ownerOf(gateway)
            if (owner == gateway) continue
            replay.at(replay.now + HEARTBEAT_DELAY) {
                tasks[owner].loadReported(ProcessName("gateway-$gateway"), counts)
            }
        }
    }

    private companion object {
        const val CHECK_PERIOD = 0.1
        const val HEARTBEAT_PERIOD = 0.25
        const val HEARTBEAT_DELAY = 0.001
        const val TAKEOVER = 1.5
        const val BELIEF_AFTER_PAUSE = 0.3
        const val LATE = 0.02
        const val LOSS_DIVISOR = 5
        val TAKEN_OVER = setOf(OwnerFault.Kind.PAUSED, OwnerFault.Kind.KILLED)
    }
}
