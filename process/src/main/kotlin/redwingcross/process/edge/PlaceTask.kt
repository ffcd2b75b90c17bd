package redwingcross.process.edge

import redwingcross.connection.http.runEvery
import redwingcross.request.BackendServer
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.Transition
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.places.AddressedAnswer
import redwingcross.version.places.GatewayStart
import redwingcross.version.places.GroupsOfKind
import redwingcross.version.places.PlaceAnswer
import redwingcross.version.places.PlaceDecision
import redwingcross.version.places.PlaceNumber
import redwingcross.version.places.PlaceOwner
import redwingcross.version.places.PlaceOwnerState
import redwingcross.version.places.PlaceReport
import redwingcross.version.places.PlaceRequest
import redwingcross.version.places.PlaceRequester
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a request was placed, as counted in metrics. */
enum class PlaceResult { GRANTED, QUEUED, DECLINED, NO_ANSWER, OWNER_LOST }

/** Callbacks through which [PlaceTask] reaches the other processes. */
class PlaceNetwork(
    val self: GatewayStart,
    /** Lease epoch of the active controller, which owns the places; null if none is known. */
    val ownerEpoch: () -> Long?,
    /** Lease epoch of this process; null unless it is the active controller. */
    val ownEpoch: () -> Long?,
    /** Number of processes that may be running. */
    val fleetSize: () -> Int,
    val sendToOwner: (PlaceMessage.Report) -> Unit,
    val sendToGateway: (ProcessName, PlaceMessage.Answer) -> Unit,
    val count: (PlaceResult) -> Unit,
)

/**
 * Asks the owner of the places for a slot before a request is sent, and is the owner while this process is the active
 * controller. [Task] identifies a request.
 */
class PlaceTask<Task>(
    private val network: PlaceNetwork,
    private val clock: MonotonicClock,
    private val runLater: (Duration, () -> Unit) -> CancelTimer,
    /** Requests of this gateway in flight by back end. */
    private val held: () -> Map<BackendServer, Int>,
    groups: GroupsOfKind,
    private val log: LogEvent,
) {
    private var requester = PlaceRequester<Task>()
    private val continuations = HashMap<PlaceNumber, () -> Unit>()
    private val owner = PlaceOwner(groups)
    private var owned = PlaceOwnerState()
    private var ownedSince: Pair<Long, Duration>? = null

    /** Called when a place was granted to a waiting request. */
    var onPlaceGranted: () -> Unit = {}

    /** Whether the owner of the places has not answered recently, so that requests are placed without it. */
    val isOwnerLost: Boolean get() = requester.isOwnerLost

    /** How a request for [request] is placed now. */
    fun decide(request: PlaceRequest): PlaceDecision = requester.decide(request.kind, request.excluded)

    /** Asks for a place for [task] and then calls [proceed]; at once if the owner isn't asked. */
    fun prepare(task: Task, request: PlaceRequest, proceed: () -> Unit) {
        val now = clock.now()
        val epoch = network.ownerEpoch()
        if (epoch == null || network.fleetSize() > LARGEST_FLEET) return proceed()
        requester = requester.ownedBy(epoch)
        if (!requester.asks(request.kind, request.excluded, now)) {
            if (requester.isOwnerLost) network.count(PlaceResult.OWNER_LOST)
            return proceed()
        }
        requester = requester.ask(task, request.kind, now)
        val number = PlaceNumber(requester.lastSequence)
        continuations[number] = proceed
        runLater(PlaceRequester.ANSWER_TIMEOUT) { timedOut(number) }
        report(request)
    }

    /** Records that [task] is sent to a back end. */
    fun sent(task: Task, server: BackendServer) {
        requester = requester.sent(task, server)
    }

    /** Records that a request of this gateway at a group has ended. */
    fun placeFreed(): Unit = reportFreed()

    /** Gives up what was asked for [task]. */
    fun ended(task: Task): Unit = giveBack(requester.withoutTask(task))

    /** Applies a message of a gateway or of the owner. */
    fun received(message: PlaceMessage) {
        when (message) {
            is PlaceMessage.Report -> reported(message.report)
            is PlaceMessage.Answer -> answered(message.answer, message.epoch)
        }
    }

    /** Applies the load that [gateway] reported in a heartbeat; null if it is no longer heard. */
    fun loadReported(gateway: ProcessName, counts: Map<BackendServer, Int>?) {
        if (ownedEpoch() == null) return
        val now = clock.now()
        apply(
            if (counts == null) {
                owner.gatewayLost(owned, gateway, now)
            } else {
                owner.loadReported(owned, gateway, counts, now)
            },
        )
    }

    /** Gives up outdated places; called several times a second. */
    fun check() {
        if (requester.open.isNotEmpty()) {
            network.ownerEpoch()?.let { requester = requester.ownedBy(it) }
            giveBack(requester.withoutUnused(clock.now()))
        }
        if (network.ownEpoch() != null) loadReported(network.self.node, held().toMap())
    }

    private fun report(request: PlaceRequest? = null) {
        val report =
            PlaceReport(network.self, requester.lastSequence, held().toMap(), requester.openNumbers.toSet(), request)
        if (network.ownEpoch() != null) reported(report) else network.sendToOwner(PlaceMessage.Report(report))
    }

    private fun reportFreed() {
        val epoch = network.ownerEpoch() ?: return
        if (requester.isOwnerLost || network.fleetSize() > LARGEST_FLEET) return
        requester = requester.ownedBy(epoch).nextReport()
        report()
    }

    private fun giveBack(next: PlaceRequester<Task>) {
        if (next === requester) return
        requester = next
        reportFreed()
    }

    private fun timedOut(number: PlaceNumber) {
        val proceed = continuations.remove(number) ?: return
        runEvery({ recordTimeout(number) }, proceed)
    }

    private fun recordTimeout(number: PlaceNumber) {
        val wasLost = requester.isOwnerLost
        requester = requester.timedOut(number, clock.now())
        network.count(PlaceResult.NO_ANSWER)
        if (!wasLost && requester.isOwnerLost) log("place_owner_lost", arrayOf("epoch" to requester.epoch))
    }

    private fun answered(answer: PlaceAnswer, epoch: Long) {
        if (epoch < requester.epoch) return
        if (requester.isOwnerLost) log("place_owner_regained", arrayOf("epoch" to epoch))
        requester = requester.answered(answer, epoch)
        val proceed = continuations.remove(answer.number)
        if (proceed != null) {
            runEvery({ network.count(answer.result) }, proceed)
        } else if (requester.open[answer.number] != null) {
            onPlaceGranted()
        }
        giveBack(requester.withoutUnused(clock.now()))
    }

    private val PlaceAnswer.result: PlaceResult
        get() = when (this) {
            is PlaceAnswer.Granted -> PlaceResult.GRANTED
            is PlaceAnswer.Queued -> PlaceResult.QUEUED
            is PlaceAnswer.Declined -> PlaceResult.DECLINED
        }

    /** Epoch under which this process owns the places; null while it doesn't, or has not heard all gateways yet. */
    private fun ownedEpoch(): Long? {
        val epoch = network.ownEpoch()
        if (epoch == null) {
            ownedSince = null
            return null
        }
        if (ownedSince?.first != epoch) {
            owned = PlaceOwnerState()
            ownedSince = epoch to clock.now()
        }
        return epoch
    }

    private fun reported(report: PlaceReport) {
        ownedEpoch() ?: return
        val now = clock.now()
        val since = ownedSince?.second ?: return
        // The load of all gateways is known after their next heartbeats only; until then each decides by itself.
        val hasHeardAll = now - since >= VIEW_COMPLETE_AFTER
        apply(owner.reported(owned, if (hasHeardAll) report else report.copy(request = null), now))
    }

    private fun apply(transition: Transition<PlaceOwnerState, AddressedAnswer>) {
        owned = transition.state
        val epoch = ownedSince?.first ?: return
        for ((gateway, answer) in transition.effects) {
            if (gateway == network.self.node) {
                // Not within the caller, which has not recorded yet what it asked for.
                runLater(Duration.ZERO) { answered(answer, epoch) }
            } else {
                network.sendToGateway(gateway, PlaceMessage.Answer(epoch, answer))
            }
        }
    }

    private companion object {
        /** One owner answers for all gateways; in a larger fleet its messages would take more than a small VM has. */
        const val LARGEST_FLEET = 150

        /** Two rounds of heartbeats and the time that the last one may take. */
        val VIEW_COMPLETE_AFTER = 600.milliseconds
    }
}
