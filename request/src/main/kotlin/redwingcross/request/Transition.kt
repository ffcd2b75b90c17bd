package redwingcross.request

/**
 * The result of one step of a decision: the next state and the effects that the owning task carries out, in order.
 *
 * Decisions are plain functions of (state, message, now) so that they run under virtual time in tests.
 */
data class Transition<out State, out Effect>(val state: State, val effects: List<Effect> = emptyList())

/** Builds a [Transition] from a state and its effects. */
fun <State, Effect> State.with(vararg effects: Effect): Transition<State, Effect> = Transition(this, effects.toList())
