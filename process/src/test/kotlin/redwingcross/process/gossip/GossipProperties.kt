package redwingcross.process.gossip

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import redwingcross.process.membership.RandomSeed
import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.OverridesVersion
import redwingcross.version.placement.BootId
import redwingcross.version.placement.Generation
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.ZoneStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against late or reordered messages that return a process to an older version, understate the age of an update
 * or combine a status with the content of another one.
 */
class GossipProperties {
    sealed interface Step {
        /** The observer publishes; a changed status has a new generation. */
        data class Publish(val isChanged: Boolean) : Step

        data class Confirm(val isChanged: Boolean) : Step

        data class Round(val from: Int, val to: Int) : Step

        /** One of the messages in flight is delivered, in any order. */
        data class Deliver(val index: Int) : Step

        data class Wait(val millis: Int) : Step
    }

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val node = Arbitraries.integers().between(0, 2)
        return Arbitraries
            .oneOf<Step>(
                Arbitraries.of(true, false).map { Step.Publish(it) },
                Arbitraries.of(true, false).map { Step.Confirm(it) },
                Combinators.combine(node, node).`as` { from, to -> Step.Round(from, to) },
                Arbitraries.integers().between(0, 9).map { Step.Deliver(it) },
                Arbitraries.integers().between(0, 9).map { Step.Deliver(it) },
                Arbitraries.integers().between(1, 3_000).map { Step.Wait(it) },
            ).list()
            .ofMinSize(20)
            .ofMaxSize(120)
    }

    @Property(seed = "20261204", tries = 2000)
    fun `updates never revert, understate their age or change their content`(@ForAll("steps") steps: List<Step>) {
        val nodes = GossipNodes()
        steps.forEach { nodes.perform(it) }
    }

    @Test
    fun `a restarted observer continues above the sequence of its predecessor`() {
        val nodes = GossipNodes()
        repeat(5) { nodes.perform(Step.Publish(isChanged = true)) }
        nodes.exchange(from = 1, to = 0)
        nodes.restartObserver()
        nodes.perform(Step.Publish(isChanged = true))
        assertEquals(5, nodes.sequenceAt(1))
        nodes.exchange(from = 0, to = 1)
        nodes.perform(Step.Publish(isChanged = true))
        nodes.exchange(from = 1, to = 0)
        assertEquals(6, nodes.sequenceAt(1))
    }
}

/**
 * Three processes whose messages are delivered in any order; the first one observes the zone and confirms versions with
 * the platform.
 */
private class GossipNodes {
    private class InFlightMessage(val deliver: () -> Unit)

    private val gossip = Gossip(GossipSettings(sizes = GossipCodec.sizes))
    private val zone = AvailabilityZone("ub-a")
    private val names = List(3) { ProcessName("controller-$it") }
    private var now = 60.seconds
    private val states = names.map { gossip.start(it, Duration.ZERO) }.toMutableList()
    private val inFlight = mutableListOf<InFlightMessage>()
    private val published = HashMap<Long, Pair<Duration, Long>>()
    private val confirmed = HashMap<Long, Duration>()
    private val lastSequence = LongArray(3)
    private val lastVersion = LongArray(3)
    private var generation = 1L
    private var version = 0L
    private val readySince = 50.seconds

    fun sequenceAt(node: Int): Long = lastSequence[node]

    fun restartObserver() {
        states[0] = gossip.start(names[0], now)
        lastSequence[0] = 0
    }

    fun perform(step: GossipProperties.Step) {
        when (step) {
            is GossipProperties.Step.Publish -> {
                if (step.isChanged) generation++
                step(0, GossipMessage.Observed(ZoneStatus(zone, names[0], 0, listOf(group()))))
            }
            is GossipProperties.Step.Confirm -> {
                if (step.isChanged) version++
                confirmed[version] = now
                val stamp = ConfirmationStamp(BundleVersion(1), OverridesVersion(version), Duration.ZERO)
                step(0, GossipMessage.Confirmed(stamp))
            }
            is GossipProperties.Step.Round -> if (step.from != step.to) round(step.from, step.to)
            is GossipProperties.Step.Deliver ->
                if (step.index < inFlight.size) inFlight.removeAt(step.index).deliver()
            is GossipProperties.Step.Wait -> now += step.millis.milliseconds
        }
    }

    /** Performs a round and the fetches that follow, all without delay. */
    fun exchange(from: Int, to: Int) {
        round(from, to)
        while (inFlight.isNotEmpty()) inFlight.removeAt(0).deliver()
    }

    private fun group() = GroupStatus(
        GroupId("group-1"), Generation(generation), ServiceName("briefing"), Vm("vm-1"), Endpoint("10.0.0.1:80"),
        listOf(Vm("vm-1")), GroupReadiness.READY, BootId("boot-1"), now - readySince,
    )

    private fun round(from: Int, to: Int) {
        val (state, digests) = gossip.digest(states[from], emptyList(), 3, RandomSeed(1), now)
        states[from] = state
        val sentAt = now
        send {
            step(to, GossipMessage.DigestReceived(names[from], digests.first(), 3)) { answer ->
                send { step(from, GossipMessage.AnswerReceived(names[to], answer, sentAt)) }
            }
        }
    }

    private fun fetch(from: Int, to: Int, keys: List<ZoneKey>) {
        val sentAt = now
        send {
            val (state, effects) = gossip.step(states[to], GossipMessage.ZonesRequested(keys), now)
            states[to] = state
            val zones = (effects.single() as GossipEffect.AnswerZones).zones
            send { step(from, GossipMessage.ZonesReceived(zones, sentAt)) }
        }
    }

    private fun send(deliver: () -> Unit) {
        inFlight += InFlightMessage(deliver)
    }

    private fun step(node: Int, message: GossipMessage, answer: (GossipAnswer) -> Unit = {}) {
        val (state, effects) = gossip.step(states[node], message, now)
        states[node] = state
        for (effect in effects) {
            when (effect) {
                is GossipEffect.Answer -> answer(effect.answer)
                is GossipEffect.FetchZones -> fetch(node, names.indexOf(effect.from), effect.keys)
                is GossipEffect.ZoneReceived -> checkZone(node, effect.status, now - effect.age)
                is GossipEffect.StampReceived -> checkStamp(node, effect.stamp)
                else -> Unit
            }
        }
    }

    private fun checkZone(node: Int, status: ZoneStatus, createdAt: Duration) {
        val received = status.groups.single()
        if (node == 0) published[status.sequence] = now to received.generation.value
        val (publishedAt, content) = published.getValue(status.sequence)
        assertTrue(status.sequence > lastSequence[node], "status reverted to sequence ${status.sequence}")
        lastSequence[node] = status.sequence
        assertTrue(createdAt <= publishedAt, "age of status understated by ${createdAt - publishedAt}")
        assertEquals(content, received.generation.value, "status has the content of another sequence")
        assertTrue(received.readyFor <= now - readySince, "ready time overstated")
    }

    private fun checkStamp(node: Int, stamp: ConfirmationStamp) {
        val received = stamp.overrides.value
        assertTrue(received >= lastVersion[node], "stamp reverted to version $received")
        lastVersion[node] = received
        assertTrue(now - stamp.age <= confirmed.getValue(received), "stamp is younger than its confirmation")
    }
}
