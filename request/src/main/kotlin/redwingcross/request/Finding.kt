package redwingcross.request

import kotlinx.serialization.Serializable

/**
 * A validation error. [place] is the command-line flag, environment variable, field path or line that contains the
 * invalid input.
 */
@Serializable
data class Finding(val place: String, val message: String) {
    override fun toString(): String = "$place: $message"
}

/** Result of validating an input: the value, or all errors that were found. */
sealed interface Checked<out T> {
    data class Valid<T>(val value: T) : Checked<T>

    data class Invalid(val findings: List<Finding>) : Checked<Nothing>
}
