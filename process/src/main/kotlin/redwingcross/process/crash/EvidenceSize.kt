package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.RequestTrait

/** Upper bounds of the bytes that the items of a [CrashEvidence] take in a message. */
internal object EvidenceSize {
    /** Index of a trait among those of a message. */
    const val INDEX = 3

    /** Start and end of a list. */
    private const val LIST = 2

    /** Type and length of a text. */
    private const val TEXT = 3

    /** A character beyond ASCII; headers of callers may contain them. */
    private const val LONG_CHARACTER = 3
    private const val LAST_ASCII = '\u007F'
    private const val COUNT = 5
    private const val TIME = 9

    fun trait(trait: RequestTrait): Int = text(trait.id)

    fun lift(trait: RequestTrait): Int = LIST + text(trait.id) + COUNT + TIME

    /** A crash without requests and cleared traits. */
    fun end(run: EngineRun): Int = LIST + text(run.engine.value) + TIME + TIME + LIST + LIST

    /** A request with [traits] traits that are listed already. */
    fun request(attempt: AttemptId, traits: Int): Int = LIST + text(attempt.value) + LIST + INDEX * traits

    private fun text(text: String): Int = TEXT + text.sumOf { if (it <= LAST_ASCII) 1 else LONG_CHARACTER }
}
