package redwingcross.version.fleet

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Smooths the demand for each model and finds the beginning and end of surges. It handles the noise of heartbeats that
 * arrive at different times, and times without demand data.
 */
internal class DemandMeasurement(private val step: DemandStep) {
    private val now = step.now
    private val settings = step.settings

    fun run() {
        countLosses()
        val demand = step.view.demand
        if (demand == null) dataMissing() else measure(demand)
    }

    private fun countLosses() {
        val losses = step.state.losses
        val recent = losses.filterValues { now - it < settings.lossPeriod }
        val new = step.lostGroups().filter { it.id !in losses }
        if (new.isEmpty() && recent.size == losses.size) return
        step.state = step.state.copy(losses = recent + new.associate { it.id to now })
    }

    /** Groups that have moved stay where they are: without data nothing shows that another number would be better. */
    private fun dataMissing() {
        val state = step.state
        val since = state.knownAt ?: now
        if (state.isLost || now - since < settings.dataLifetime) return
        step.log("demand_lost", "age" to (now - since))
        step.state = state.copy(
            trends = state.trends.mapValues { it.value.copy(surge = null) },
            isLost = true,
            move = null,
            moved = emptyMap(),
            plan = DemandPlan(),
        )
    }

    private fun measure(demand: List<ModelDemand>) {
        val silence = now - (step.state.knownAt ?: now)
        if (step.state.isLost) {
            step.log("demand_regained", "after" to silence)
            step.state = step.state.copy(isLost = false, usableFrom = now + settings.settling, calmSince = now)
        }
        val weight = 1 - exp(-(silence / settings.smoothing))
        val byModel = demand.associateBy { it.model }
        val trends = step.pool.models.associate { spec ->
            val measured = byModel[spec.name]?.slots() ?: 0.0
            val before = step.state.trends[spec.name]
            val slots = if (before == null) measured else before.slots + weight * (measured - before.slots)
            val next = before?.copy(slots = slots) ?: ModelTrend(slots)
            spec.name to if (now >= step.state.usableFrom) withSurge(spec, next) else next
        }
        step.state = step.state.copy(trends = trends, knownAt = now)
    }

    private fun ModelDemand.slots(): Double = inFlight + waiting + refusedPerSecond * (settings.slotTime / 1.seconds)

    /** Begins or ends the surge of a model. */
    private fun withSurge(spec: ModelSpec, trend: ModelTrend): ModelTrend {
        val open = step.openSlots(spec.name)
        val surge = trend.surge
        return when {
            surge == null && open > 0 && trend.slots >= settings.shortUtilisation * open -> {
                step.log("demand_surge", "model" to spec.name, "demand" to trend.slots.toInt(), "slots" to open)
                trend.copy(surge = Surge(now, settings.calmUtilisation * open))
            }
            surge != null && trend.slots < surge.endsBelow -> {
                val length: Duration = now - surge.since
                step.log("demand_surge_ended", "model" to spec.name, "after" to length)
                step.state = step.state.copy(calmSince = now)
                trend.copy(surge = null, lengths = (trend.lengths + length).takeLast(settings.rememberedSurges))
            }
            else -> trend
        }
    }
}
