package redwingcross.request

import kotlinx.serialization.Serializable

/** One fault in some input. [place] names the flag, variable, field path or line where it was found. */
@Serializable
data class Finding(val place: String, val message: String) {
    override fun toString(): String = "$place: $message"
}

/** A value, or every fault that prevented it from being built. */
sealed interface Checked<out T> {
    data class Valid<T>(val value: T) : Checked<T>

    data class Invalid(val findings: List<Finding>) : Checked<Nothing>
}
