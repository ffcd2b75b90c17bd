package redwingcross.process.settings

import redwingcross.request.Finding

/** One setting of a program; [value] is available after the command line was checked. */
class Setting<T : Any> internal constructor(
    private val flag: String,
    private val kind: SettingKind<T>,
    private val default: String?,
    private val secret: Boolean,
) {
    internal var readFlag: () -> String? = { null }
    private var resolved: T? = null
    private var source = "default"
    private var text = ""

    /** The environment variable with the same name as the flag. */
    val variable: String = "REDWINGCROSS_" + flag.trimStart('-').replace('-', '_').uppercase()

    /** The checked value. Throws [IllegalStateException] if the command line was not checked yet. */
    val value: T get() = checkNotNull(resolved) { "setting $flag was read before it was checked" }

    internal fun resolve(environment: (String) -> String?): List<Finding> {
        val fromFlag = readFlag()
        val fromVariable = environment(variable)
        val (origin, given) = when {
            fromFlag != null -> flag to fromFlag
            fromVariable != null -> variable to fromVariable
            default != null -> "default" to default
            else -> return listOf(Finding(flag, "is required; it may also be given as $variable"))
        }
        source = origin
        text = given
        resolved = kind.parse(given)
        val shown = if (secret) "the given value" else "\"$given\""
        return if (resolved != null) emptyList() else listOf(Finding(origin, "must be ${kind.description}, not $shown"))
    }

    internal fun describe(): String = "${flag.trimStart('-')}=${if (secret) "(secret)" else text} source=$source"
}
