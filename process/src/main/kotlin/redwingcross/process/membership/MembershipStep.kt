package redwingcross.process.membership

import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** Processes one message of [Membership.step] on a mutable [table]. */
internal class MembershipStep(
    private val settings: MembershipSettings,
    private val table: MemberTable,
    private val now: Duration,
) {
    private var state by table::state
    private val effects get() = table.effects

    fun handle(message: MembershipMessage) {
        when (message) {
            MembershipMessage.Tick -> tick()
            is MembershipMessage.PingReceived -> pingReceived(message)
            is MembershipMessage.AckReceived -> ackReceived(message)
            is MembershipMessage.Contacted -> contacted()
            is MembershipMessage.PingFailed -> probeIndirectly(message.target)
            is MembershipMessage.ChangesReceived -> message.changes.forEach(table::adopt)
            is MembershipMessage.SyncReceived -> syncReceived(message)
            is MembershipMessage.SyncAnswered -> syncAnswered(message)
            is MembershipMessage.Announce -> announce(message.availability)
            MembershipMessage.Leave -> leave()
            is MembershipMessage.SeedsChanged -> state = state.copy(seeds = message.seeds)
        }
    }

    private fun tick() {
        val gap = now - state.lastTick
        state = state.copy(lastTick = now)
        if (gap >= settings.pauseThreshold) resumeAfterPause(gap)
        expire()
        advanceProbe()
        if (state.hasLeft) return
        if (now >= state.nextProbe) startProbe()
        synchronise()
    }

    /**
     * Cancels the probe in flight and extends suspicions by [gap], because this process could receive no answer or
     * refutation while it was paused.
     */
    private fun resumeAfterPause(gap: Duration) {
        state =
            state.copy(
                probe = null,
                nextProbe = now,
                entries =
                state.entries.mapValues { (_, entry) ->
                    if (entry.condition == MemberCondition.SUSPECT) entry.copy(since = entry.since + gap) else entry
                },
            )
    }

    private fun expire() {
        val absent = state.entries.values.filter { it.condition != MemberCondition.ALIVE }
        for (entry in absent) {
            val age = now - entry.since
            if (entry.condition == MemberCondition.SUSPECT) {
                if (age >= settings.suspicion) table.put(entry.copy(condition = MemberCondition.DEAD, since = now))
            } else if (age >= settings.absentRetention) {
                val name = entry.member.name
                state = state.copy(entries = state.entries - name, sendCounts = state.sendCounts - name)
            }
        }
    }

    private fun advanceProbe() {
        val probe = state.probe ?: return
        val age = now - probe.startedAt
        if (age >= settings.probePeriod) {
            state = state.copy(probe = null)
            suspect(probe.target)
        } else if (age >= settings.directTimeout) {
            probeIndirectly(probe.target)
        }
    }

    private fun startProbe() {
        state = state.copy(nextProbe = now + settings.probePeriod)
        val target = nextTarget() ?: return
        state = state.copy(probe = Probe(target.name, now))
        effects += MembershipEffect.Ping(target, table.takeChanges(target.name, settings.pingChangeBytes))
    }

    /** Iterates over all members in random order, so that each of n members is probed within 2n periods. */
    private fun nextTarget(): Member? {
        var order = state.probeOrder.dropWhile { state.entries[it]?.isPresent != true }
        if (order.isEmpty()) {
            order = state.randomSeed.shuffle(state.entries.values.filter { it.isPresent }.map { it.member.name })
            state = state.copy(randomSeed = state.randomSeed.next())
        }
        state = state.copy(probeOrder = order.drop(1))
        return order.firstOrNull()?.let { state.entries[it]?.member }
    }

    private fun probeIndirectly(name: ProcessName) {
        val probe = state.probe?.takeIf { it.target == name && !it.isIndirect } ?: return
        val target = state.entries[name]?.member ?: return
        state = state.copy(probe = probe.copy(isIndirect = true), randomSeed = state.randomSeed.next())
        val helpers = state.entries.values.filter { it.condition == MemberCondition.ALIVE && it.member.name != name }
        state.randomSeed.shuffle(helpers).take(settings.indirectProbes).forEach {
            effects += MembershipEffect.PingIndirectly(it.member, target)
        }
    }

    private fun suspect(name: ProcessName) {
        val entry = state.entries[name]?.takeIf { it.condition == MemberCondition.ALIVE } ?: return
        val isShared = !isIsolated()
        table.put(entry.copy(condition = MemberCondition.SUSPECT, since = now, isShared = isShared))
        if (isShared) table.queue(name)
    }

    private fun isIsolated(): Boolean = now - state.lastContact > settings.isolationTimeout

    private fun contacted() {
        if (isIsolated()) {
            state.entries.values
                .filter { !it.isShared && it.condition > MemberCondition.ALIVE }
                .forEach { table.put(it.copy(condition = MemberCondition.ALIVE, since = now, isShared = true)) }
        }
        state = state.copy(lastContact = now)
    }

    private fun pingReceived(message: MembershipMessage.PingReceived) {
        table.adopt(MemberChange(message.sender, MemberCondition.ALIVE))
        message.changes.forEach(table::adopt)
        effects += MembershipEffect.Acknowledge(table.takeChanges(message.sender.name, settings.pingChangeBytes))
    }

    private fun ackReceived(message: MembershipMessage.AckReceived) {
        contacted()
        table.adopt(MemberChange(message.sender, MemberCondition.ALIVE))
        message.changes.forEach(table::adopt)
        val name = message.sender.name
        if (state.probe?.target == name) state = state.copy(probe = null)
        val entry = state.entries[name] ?: return
        // The acknowledgement proves that the member is running, even if other processes suspect it.
        val isSame = entry.member.start == message.sender.start && entry.condition != MemberCondition.LEFT
        if (isSame && entry.condition != MemberCondition.ALIVE) {
            table.put(entry.copy(condition = MemberCondition.ALIVE, since = now, isShared = true))
        }
    }

    private fun announce(availability: Availability) {
        if (availability == state.self.availability) return
        state = state.copy(self = state.self.copy(availability = availability))
        table.raiseAbove(state.self.incarnation)
    }

    private fun leave() {
        if (state.hasLeft) return
        table.raiseAbove(state.self.incarnation)
        state = state.copy(hasLeft = true, probe = null, randomSeed = state.randomSeed.next())
        state.randomSeed.shuffle(state.entries.values.filter { it.isPresent }).take(LEAVE_PINGS).forEach {
            effects += MembershipEffect.Ping(it.member, table.takeChanges(it.member.name, settings.pingChangeBytes))
        }
    }

    private fun synchronise() {
        val present = state.entries.values.filter { it.isPresent }
        if (now >= state.nextSync && present.isNotEmpty()) {
            state = state.copy(nextSync = now + settings.syncPeriod)
            sync(present.map { it.member.peer })
        }
        if (now >= state.nextRejoin) {
            state =
                state.copy(nextRejoin = now + if (present.isEmpty()) settings.probePeriod else settings.rejoinPeriod)
            val known = present.mapTo(mutableSetOf(state.self.peer)) { it.member.peer }
            val dead = state.entries.values.filter { it.condition == MemberCondition.DEAD }.map { it.member.peer }
            sync((state.seeds + dead).filter { it !in known }.distinct())
        }
    }

    private fun sync(endpoints: List<Endpoint>) {
        if (endpoints.isEmpty()) return
        val chosen = endpoints[state.randomSeed.index(endpoints.size)]
        state = state.copy(randomSeed = state.randomSeed.next())
        effects += MembershipEffect.Sync(chosen, state.digest())
    }

    private fun syncReceived(message: MembershipMessage.SyncReceived) {
        table.adopt(MemberChange(message.sender, MemberCondition.ALIVE))
        val digest = state.digest()
        effects += MembershipEffect.AnswerSync(digest, table.changesAt(digest, message.digest))
    }

    private fun syncAnswered(message: MembershipMessage.SyncAnswered) {
        contacted()
        val theirs = message.changes.associateBy { it.member.name }
        val missing =
            table.changesAt(message.digest, message.answerDigest).filter { ours ->
                theirs[ours.member.name]
                    ?.let { ours.replaces(MemberEntry(it.member, it.condition, now)) }
                    ?: (ours.condition <= MemberCondition.SUSPECT)
            }
        val isJoining = state.entries.isEmpty()
        message.changes.forEach(table::adopt)
        // The others already have the entries that a joining process receives; sending them all would take minutes.
        if (isJoining) state = state.copy(sendCounts = state.sendCounts.filterKeys { it == state.self.name })
        if (missing.isNotEmpty()) effects += MembershipEffect.SendChanges(message.endpoint, missing)
    }

    private companion object {
        /** Number of members that a leaving process pings at once; these propagate the change to the others. */
        const val LEAVE_PINGS = 3
    }
}
