package redwingcross.version.simulation

import redwingcross.request.ProcessName
import redwingcross.request.Vm
import redwingcross.version.control.ControlState
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseState
import redwingcross.version.lease.LeaseVersion
import redwingcross.version.lease.StoredLease
import redwingcross.version.placement.HolderDecision
import redwingcross.version.placement.HolderEffect
import redwingcross.version.placement.HolderMessage
import redwingcross.version.placement.HolderState
import redwingcross.version.placement.MemberReport
import redwingcross.version.placement.ObserverDecision
import redwingcross.version.placement.ObserverEffect
import redwingcross.version.placement.ObserverMessage
import redwingcross.version.placement.ObserverState
import redwingcross.version.placement.PlacementEffect
import redwingcross.version.placement.PlacementMessage
import redwingcross.version.placement.PlacementState
import redwingcross.version.placement.PlacementVersion
import redwingcross.version.placement.StoredPlacement
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A controller that can be paused and restarted at any time; its inputs wait until it resumes. */
internal class SimulatedController(private val index: Int, private val zone: SimulatedZone) {
    private val time = zone.time
    private val name = ProcessName("c$index")
    private var life = 0
    private var pausedUntil = Duration.ZERO

    /** No order is sent before: a pause between the check of the lease and the sending. */
    var holdOrdersUntil = Duration.ZERO

    /** Time that an order of this controller travels. */
    var orderDelay = 20.milliseconds
    lateinit var holder: HolderState
        private set
    private lateinit var observer: ObserverState

    fun now(): Duration = time.now + (index * 500).seconds

    fun start() {
        restart()
        time.after((index * 70).milliseconds, ::tick)
        time.after((index * 90).milliseconds, ::collect)
    }

    fun restart() {
        life += 1
        val incarnation = "c$index-$life"
        holder =
            HolderState(
                LeaseState(name, incarnation, rank = index),
                PlacementState(zone.name, incarnation, zone.settings, zone.control, zone.leaving),
            )
        observer = ObserverState(zone.name, name, live = true, endpoints = zone.endpoints)
    }

    fun pause(length: Duration) {
        pausedUntil = maxOf(pausedUntil, time.now + length)
    }

    fun release() = deliver(life) { step(HolderMessage.OfLease(LeaseMessage.Release)) }

    fun controlChanged(control: ControlState, leaving: Set<Vm>) {
        deliver(life) { step(HolderMessage.OfPlacement(PlacementMessage.ControlChanged(control))) }
        deliver(life) { step(HolderMessage.OfPlacement(PlacementMessage.LeavingChanged(leaving))) }
    }

    fun placementReceived(stored: StoredPlacement) = deliver(life) {
        observe(ObserverMessage.PlacementReceived(stored))
    }

    private fun tick() {
        if (time.now >= pausedUntil) {
            step(HolderMessage.Tick(index))
            observe(ObserverMessage.Tick)
        }
        time.after(500.milliseconds, ::tick)
    }

    private fun collect() {
        if (time.now >= pausedUntil) zone.engines.keys.forEach(::ask)
        time.after(1.seconds, ::collect)
    }

    private fun ask(vm: Vm) {
        val asked = life
        val requestedAt = now()
        zone.report(index, vm) { report -> deliver(asked) { reported(vm, report, requestedAt) } }
    }

    private fun reported(vm: Vm, report: MemberReport?, requestedAt: Duration) {
        if (report == null) {
            step(HolderMessage.OfPlacement(PlacementMessage.ReportMissed(vm, requestedAt)))
            observe(ObserverMessage.ReportMissed(vm, requestedAt))
        } else {
            step(HolderMessage.OfPlacement(PlacementMessage.ReportArrived(vm, report, requestedAt)))
            observe(ObserverMessage.ReportArrived(vm, report, requestedAt))
        }
    }

    private fun deliver(forLife: Int, action: () -> Unit) {
        when {
            forLife != life -> Unit
            time.now < pausedUntil -> time.after(pausedUntil - time.now) { deliver(forLife, action) }
            else -> action()
        }
    }

    private fun observe(message: ObserverMessage) {
        val transition = ObserverDecision.step(observer, message, now())
        observer = transition.state
        transition.effects.forEach { if (it is ObserverEffect.Publish) zone.published(it.status) }
    }

    private fun step(message: HolderMessage) {
        val transition = HolderDecision.step(holder, message, now())
        holder = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is HolderEffect.OfLease -> carryOut(effect.effect)
                is HolderEffect.OfPlacement -> carryOut(effect.effect)
            }
        }
    }

    private fun answer(asked: Int, message: LeaseMessage) = deliver(asked) { step(HolderMessage.OfLease(message)) }

    private fun answer(asked: Int, message: PlacementMessage) =
        deliver(asked) { step(HolderMessage.OfPlacement(message)) }

    private fun carryOut(effect: LeaseEffect) {
        val asked = life
        when (effect) {
            is LeaseEffect.Read ->
                zone.lease.read(
                    { found ->
                        val seen = found?.let { StoredLease(LeaseVersion(it.first), it.second) }
                        answer(asked, LeaseMessage.ReadAnswered(effect.call, seen))
                    },
                    { answer(asked, LeaseMessage.ReadFailed(effect.call)) },
                )
            is LeaseEffect.Write ->
                zone.lease.write(effect.expected?.value, effect.record) { end ->
                    answer(
                        asked,
                        when (end) {
                            is WriteEnd.Written -> LeaseMessage.Written(effect.call, LeaseVersion(end.version))
                            WriteEnd.Conflict -> LeaseMessage.Conflict(effect.call)
                            WriteEnd.NoEffect -> LeaseMessage.WriteFailed(effect.call)
                            WriteEnd.Unknown -> LeaseMessage.OutcomeUnknown(effect.call)
                        },
                    )
                }
            is LeaseEffect.Acquired, is LeaseEffect.Lost, LeaseEffect.Released -> Unit
        }
    }

    private fun carryOut(effect: PlacementEffect) {
        val asked = life
        when (effect) {
            is PlacementEffect.ReadPlacement ->
                zone.placement.read(
                    { found ->
                        val stored = found?.let { StoredPlacement(PlacementVersion(it.first), it.second) }
                        answer(asked, PlacementMessage.ReadAnswered(effect.call, stored))
                    },
                    { answer(asked, PlacementMessage.CallFailed(effect.call)) },
                )
            is PlacementEffect.WritePlacement ->
                zone.placement.write(effect.expected?.value, effect.placement) { end ->
                    answer(
                        asked,
                        when (end) {
                            is WriteEnd.Written -> PlacementMessage.Written(effect.call, PlacementVersion(end.version))
                            WriteEnd.Conflict -> PlacementMessage.Conflict(effect.call)
                            WriteEnd.NoEffect -> PlacementMessage.CallFailed(effect.call)
                            WriteEnd.Unknown -> PlacementMessage.OutcomeUnknown(effect.call)
                        },
                    )
                }
            is PlacementEffect.OrderEngine -> {
                val held = (holdOrdersUntil - time.now).coerceAtLeast(Duration.ZERO)
                zone.send(index, effect.order, held) {
                    answer(asked, PlacementMessage.OrderAnswered(effect.order.vm, it))
                }
            }
            is PlacementEffect.RecheckLease -> Unit
        }
    }
}
