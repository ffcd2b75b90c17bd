package redwingcross.version.simulation

import redwingcross.request.ProcessName
import redwingcross.request.Vm
import redwingcross.version.control.ControlState
import redwingcross.version.fleet.StorePosition
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseState
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

/** Simulates a controller that can be paused and restarted at any time; its inputs are delayed until it resumes. */
internal class SimulatedController(private val index: Int, private val zone: SimulatedZone) {
    private val time = zone.time
    private val name = ProcessName("c$index")
    private var startCount = 0
    private var pausedUntil = Duration.ZERO

    /** Orders are not sent before this time; simulates a pause between the check of the lease and the sending. */
    var holdOrdersUntil = Duration.ZERO

    /** Time that an order of this controller takes to reach an engine. */
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
        startCount += 1
        val incarnation = "c$index-$startCount"
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

    fun release() = deliver(startCount) { step(HolderMessage.OfLease(LeaseMessage.Release)) }

    fun controlChanged(control: ControlState, leaving: Set<Vm>) {
        deliver(startCount) { step(HolderMessage.OfPlacement(PlacementMessage.ControlChanged(control))) }
        deliver(startCount) { step(HolderMessage.OfPlacement(PlacementMessage.LeavingChanged(leaving))) }
    }

    fun placementReceived(stored: StoredPlacement) = deliver(startCount) {
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
        if (time.now >= pausedUntil) zone.engines.keys.forEach(::requestReport)
        time.after(1.seconds, ::collect)
    }

    private fun requestReport(vm: Vm) {
        val requestingStart = startCount
        val requestedAt = now()
        zone.report(index, vm) { report -> deliver(requestingStart) { reported(vm, report, requestedAt) } }
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

    private fun deliver(forStart: Int, action: () -> Unit) {
        when {
            forStart != startCount -> Unit
            time.now < pausedUntil -> time.after(pausedUntil - time.now) { deliver(forStart, action) }
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

    private fun answer(requestingStart: Int, message: LeaseMessage) = deliver(requestingStart) {
        step(HolderMessage.OfLease(message))
    }

    private fun answer(requestingStart: Int, message: PlacementMessage) =
        deliver(requestingStart) { step(HolderMessage.OfPlacement(message)) }

    private fun carryOut(effect: LeaseEffect) {
        val requestingStart = startCount
        when (effect) {
            is LeaseEffect.Read ->
                zone.lease.read(
                    { found ->
                        val seen = found?.let { StoredLease(StorePosition.inFirstEra(it.first), it.second) }
                        answer(requestingStart, LeaseMessage.ReadAnswered(effect.call, seen))
                    },
                    { answer(requestingStart, LeaseMessage.ReadFailed(effect.call)) },
                )
            is LeaseEffect.Write ->
                zone.lease.write(effect.expected?.revision?.value, effect.record) { end ->
                    answer(
                        requestingStart,
                        when (end) {
                            is WriteOutcome.Written -> LeaseMessage.Written(
                                effect.call,
                                StorePosition.inFirstEra(end.version),
                            )
                            WriteOutcome.Conflict -> LeaseMessage.Conflict(effect.call)
                            WriteOutcome.NoEffect -> LeaseMessage.WriteFailed(effect.call)
                            WriteOutcome.Unknown -> LeaseMessage.OutcomeUnknown(effect.call)
                        },
                    )
                }
            is LeaseEffect.Acquired, is LeaseEffect.Lost, LeaseEffect.Released -> Unit
        }
    }

    private fun carryOut(effect: PlacementEffect) {
        val requestingStart = startCount
        when (effect) {
            is PlacementEffect.ReadPlacement ->
                zone.placement.read(
                    { found ->
                        val stored = found?.let { StoredPlacement(PlacementVersion(it.first), it.second) }
                        answer(requestingStart, PlacementMessage.ReadAnswered(effect.call, stored))
                    },
                    { answer(requestingStart, PlacementMessage.CallFailed(effect.call)) },
                )
            is PlacementEffect.WritePlacement ->
                zone.placement.write(effect.expected?.value, effect.placement) { end ->
                    answer(
                        requestingStart,
                        when (end) {
                            is WriteOutcome.Written -> PlacementMessage.Written(
                                effect.call,
                                PlacementVersion(end.version),
                            )
                            WriteOutcome.Conflict -> PlacementMessage.Conflict(effect.call)
                            WriteOutcome.NoEffect -> PlacementMessage.CallFailed(effect.call)
                            WriteOutcome.Unknown -> PlacementMessage.OutcomeUnknown(effect.call)
                        },
                    )
                }
            is PlacementEffect.OrderEngine -> {
                val held = (holdOrdersUntil - time.now).coerceAtLeast(Duration.ZERO)
                zone.send(index, effect.order, held) {
                    answer(requestingStart, PlacementMessage.OrderAnswered(effect.order.vm, it))
                }
            }
            is PlacementEffect.RecheckLease -> Unit
        }
    }
}
