package redwingcross.process.gossip

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import redwingcross.connection.peer.PeerAnswer
import redwingcross.connection.peer.PeerEndpoint
import redwingcross.connection.peer.PeerFrame
import redwingcross.connection.peer.PeerNetwork
import redwingcross.process.membership.Availability
import redwingcross.process.membership.Member
import redwingcross.process.membership.ProcessRole
import redwingcross.process.membership.RandomSeed
import redwingcross.process.membership.StartId
import redwingcross.request.AttemptId
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.ControlState
import redwingcross.version.control.Overrides
import redwingcross.version.control.OverridesVersion
import redwingcross.version.placement.ZoneStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against wrong wiring, frames or endpoints, with which processes can't exchange updates over real sockets. */
class MembershipTaskTest {
    private val zone = AvailabilityZone("ub-a")
    private val drained = ControlState(overrides = Overrides(OverridesVersion(7)))

    private class Running(val task: MembershipTask, val endpoint: Endpoint, val network: PeerNetwork)

    private suspend fun CoroutineScope.startProcess(
        name: String,
        role: ProcessRole,
        seeds: List<Endpoint>,
        handlers: PeerHandlers,
    ): Running {
        val network = PeerNetwork()
        val bound = CompletableDeferred<PeerEndpoint>()
        val answers = CompletableDeferred<PeerResponder>()
        launch { network.run() }
        launch { network.listen(PeerEndpoint("127.0.0.1:0"), { answers.await().answer(it) }) { bound.complete(it) } }
        val endpoint = Endpoint(bound.await().value)
        val caller = if (role == ProcessRole.GATEWAY) Endpoint("127.0.0.1:8080") else null
        val member =
            Member(
                ProcessName(name),
                role,
                zone,
                endpoint,
                caller,
                StartId(name.hashCode().toLong()),
                MonotonicClock.system.now(),
            )
        val task = MembershipTask(member, seeds, RandomSeed(1), network::request, handlers)
        answers.complete(PeerResponder(member.name, task, handlers, network::request))
        launch { task.run() }
        return Running(task, endpoint, network)
    }

    @Test
    fun `a gateway receives zone status, stamp and control state of a controller and both list each other`() =
        runBlocking(Dispatchers.Default) {
            withTimeout(30.seconds) {
                coroutineScope {
                    val statuses = Channel<ZoneStatus>(Channel.UNLIMITED)
                    val stamps = Channel<ConfirmationStamp>(Channel.UNLIMITED)
                    val adopted = Channel<ControlState>(Channel.UNLIMITED)
                    val controller =
                        startProcess(
                            "controller-1",
                            ProcessRole.CONTROLLER,
                            emptyList(),
                            PeerHandlers(controlState = { drained }),
                        )
                    val gateway =
                        startProcess(
                            "gateway-1",
                            ProcessRole.GATEWAY,
                            listOf(controller.endpoint),
                            PeerHandlers(
                                zoneReceived = { status, _ -> statuses.trySend(status) },
                                stampReceived = { _, stamp, _ -> stamps.trySend(stamp) },
                                adoptControl = { _, state, _ -> adopted.send(state) },
                                abandonAttempt = { it == AttemptId("attempt-1") },
                            ),
                        )
                    gateway.task.announce(Availability.READY)
                    controller.task.observed(ZoneStatus(zone, ProcessName("controller-1"), 0, emptyList()))
                    controller.task.adopted(ControlVersions(overrides = OverridesVersion(7)))
                    controller.task.confirmed(
                        ConfirmationStamp(BundleVersion(0), OverridesVersion(7), 100.milliseconds),
                    )

                    assertEquals(zone, statuses.receive().zone)
                    assertEquals(OverridesVersion(7), stamps.receive().overrides)
                    assertEquals(drained, adopted.receive())
                    controller.task.view.first { view -> view.readyGateways().any { it.name.value == "gateway-1" } }
                    assertEquals(
                        listOf(ProcessName("controller-1")),
                        gateway.task.view.first { it.live().size == 2 }.observerOrder(zone),
                    )
                    val answer =
                        controller.network.request(PeerEndpoint(gateway.endpoint.value), 5.seconds) {
                            PeerFrame.AbandonAttempt(ProcessName("controller-1"), it, AttemptId("attempt-1"))
                        }
                    val frame = assertIs<PeerFrame.AbandonAnswer>(assertIs<PeerAnswer.Answered>(answer).frame)
                    assertEquals(true, frame.abandoned)
                    currentCoroutineContext().cancelChildren()
                }
            }
        }
}
