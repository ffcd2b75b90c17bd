package redwingcross.request

/**
 * Result of a state machine step: the next state and the effects that the task owning the state has to carry out, in
 * order.
 *
 * State machines are pure functions of the state, the event and the current time, so that tests can run them under
 * virtual time.
 */
data class Transition<out State, out Effect>(val state: State, val effects: List<Effect> = emptyList())

/** Creates a [Transition] to this state with [effects]. */
fun <State, Effect> State.with(vararg effects: Effect): Transition<State, Effect> = Transition(this, effects.toList())
