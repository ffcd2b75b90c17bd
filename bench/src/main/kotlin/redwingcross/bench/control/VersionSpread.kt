package redwingcross.bench.control

import redwingcross.process.gossip.ControlVersions
import redwingcross.process.gossip.Gossip
import redwingcross.process.gossip.GossipCodec
import redwingcross.process.gossip.GossipEffect
import redwingcross.process.gossip.GossipMessage
import redwingcross.process.gossip.GossipSettings
import redwingcross.process.membership.RandomSeed
import redwingcross.request.ProcessName
import redwingcross.version.control.OverridesVersion
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Number of gossip rounds until all [size] processes have adopted a version that one process has at the start. Each
 * process sends one digest per round and fetches higher versions at once. Messages of a round carry the versions that
 * were adopted before it.
 */
internal fun roundsUntilAdopted(size: Int, seed: Long): Int {
    val gossip = Gossip(GossipSettings(sizes = GossipCodec.sizes))
    val random = Random(seed)
    val names = List(size) { ProcessName("gateway-$it") }
    val states = names.map { gossip.start(it, Duration.ZERO) }.toMutableList()
    val newest = ControlVersions(overrides = OverridesVersion(1))
    var now = Duration.ZERO
    states[0] = gossip.step(states[0], GossipMessage.Adopted(newest), now).state
    var rounds = 0
    while (states.any { it.versions != newest }) {
        rounds++
        now += 500.milliseconds
        val before = states.toList()
        val adopting = mutableSetOf<Int>()
        for (index in names.indices) {
            val peer = (index + 1 + random.nextInt(size - 1)) % size
            val digest = gossip.digest(before[index], emptyList(), size, RandomSeed(seed), now).effects.first()
            val received = GossipMessage.DigestReceived(names[index], digest, size)
            val effects = gossip.step(before[peer], received, now).effects
            if (effects.any { it is GossipEffect.FetchControl }) adopting += peer
            val answer = effects.filterIsInstance<GossipEffect.Answer>().single().answer
            val answered = gossip.step(before[index], GossipMessage.AnswerReceived(names[peer], answer, now), now)
            if (answered.effects.any { it is GossipEffect.FetchControl }) adopting += index
        }
        for (index in adopting) states[index] = gossip.step(states[index], GossipMessage.Adopted(newest), now).state
    }
    return rounds
}
