package redwingcross.process.edge

import redwingcross.process.crash.AnsweredTraits
import redwingcross.process.crash.BlockedTrait
import redwingcross.process.crash.CrashAttribution
import redwingcross.process.crash.CrashEvidence
import redwingcross.process.crash.CrashLedger
import redwingcross.process.crash.CrashObservation
import redwingcross.process.crash.EngineEndDetector
import redwingcross.process.crash.EngineEndMessage
import redwingcross.process.crash.EngineEndState
import redwingcross.process.crash.EngineRun
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.PromptPart
import redwingcross.request.RequestDigest
import redwingcross.request.RequestIdentity
import redwingcross.request.RequestTrait
import redwingcross.version.fleet.EngineTable
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.CrashSignals
import kotlin.time.Duration

/** Callbacks of [CrashAttributionTask]. */
class CrashAttributionDependencies(
    /** The back ends that are listed at present. */
    val table: () -> EngineTable,
    /** Called when this process has learned something that the other processes need to know. */
    val onNewEvidence: () -> Unit,
    /** Called when a trait was blocked. */
    val onBlocked: () -> Unit,
    /** Counts an observed end of an engine. */
    val countCrash: () -> Unit,
    /** Counts a request that was not sent because of the trait. */
    val countBlocked: (RequestTrait) -> Unit,
    val log: LogEvent,
)

/**
 * Owns this process's replica of the [CrashLedger]: relates ends of engines to the traits of the requests
 * that were there, and tells which requests must not be sent. A process that can't reach others goes on with its
 * replica.
 */
class CrashAttributionTask(private val dependencies: CrashAttributionDependencies, private val clock: MonotonicClock) {
    private var detector = EngineEndState()
    private var ledger = CrashLedger()
    private val answered = AnsweredTraits()
    private var knownBlocks = emptySet<RequestTrait>()

    /** Blocked traits with their evidence. */
    fun blockedTraits(): List<BlockedTrait> = CrashAttribution.blocked(ledger, clock.now(), answered).values.toList()

    /** What other processes need to know. */
    fun evidence(): CrashEvidence = CrashAttribution.evidence(ledger, clock.now())

    /** Why [request] must not be sent to an engine, which is logged and counted; null if it may be sent. */
    fun blockReason(request: RequestIdentity): String? {
        val block = CrashAttribution.blocking(ledger, request.traits, clock.now(), answered) ?: return null
        dependencies.countBlocked(block.trait)
        dependencies.log(
            BlockEvent.REFUSED.of(block.trait),
            arrayOf("attempt" to request.attempt, block.trait.logField, "crashes" to block.crashes.toLogValue()),
        )
        return when (block.trait) {
            is PromptPart -> CrashSignals.BLOCKED_PART
            is RequestDigest -> CrashSignals.BLOCKED_REQUEST
        }
    }

    /** Whether [request] is blocked as a whole. */
    fun isRequestBlocked(request: RequestIdentity): Boolean {
        val digest = request.traits.filterIsInstance<RequestDigest>()
        return CrashAttribution.blocking(ledger, digest, clock.now(), answered) != null
    }

    /** Whether a trait of [request] is suspected because of the end of another engine than the one behind [backend]. */
    fun isSuspect(request: RequestIdentity, backend: ChosenBackend): Boolean {
        // All requests at an engine that ended are suspects of that crash; most are sound and have to go on elsewhere.
        val others = if (backend.run in ledger.crashes) ledger.copy(crashes = ledger.crashes - backend.run) else ledger
        return CrashAttribution.isSuspect(others, request.traits, clock.now())
    }

    /** Records that an engine began to answer [request]. */
    fun answerBegan(request: RequestIdentity) {
        val now = clock.now()
        answered.record(request.traits, now)
        update(CrashAttribution.answerBegan(ledger, request.traits, now))
    }

    /** Records that [request] lost its connection to [backend]; [hasAnswered] tells whether its answer had begun. */
    fun connectionLost(backend: ChosenBackend, request: RequestIdentity, hasAnswered: Boolean) {
        val suspect = request.takeUnless { hasAnswered }
        detect(EngineEndMessage.ConnectionLost(backend.run, backend.group, request.attempt, suspect))
    }

    /** Records that no connection to [backend] could be opened. */
    fun notConnected(backend: ChosenBackend) {
        if (detector.runs.isNotEmpty()) detect(EngineEndMessage.NotConnected(backend.server))
    }

    /** Records that the controller reported groups that have lost a member. */
    fun groupsLost(groups: Set<GroupId>) {
        if (detector.runs.isNotEmpty()) detect(EngineEndMessage.GroupsLost(groups))
    }

    /** Compares lost connections with the listed engines and finds traits whose block has begun. */
    fun check() {
        val engines = detector.engines
        if (engines.isNotEmpty()) detect(EngineEndMessage.EnginesListed(startsOf(engines)))
        update(CrashAttribution.clearedBefore(ledger, answered))
        reportBlocks()
    }

    /** Merges what another process knows; returns whether this process learned something. */
    fun received(evidence: CrashEvidence): Boolean {
        val before = ledger
        ledger = CrashAttribution.merged(ledger, evidence, clock.now())
        if (ledger === before) return false
        reportBlocks()
        return true
    }

    /** Lifts the block of [trait] here and, by the evidence, at the other processes; false if it is not blocked. */
    fun lift(trait: RequestTrait): Boolean {
        val now = clock.now()
        if (trait !in CrashAttribution.blocked(ledger, now, answered)) return false
        dependencies.log(BlockEvent.LIFTED.of(trait), arrayOf(trait.logField))
        update(CrashAttribution.lifted(ledger, trait, now))
        return true
    }

    private fun startsOf(engines: Set<BackendServer>) = dependencies.table().engines.let { listed ->
        engines.mapNotNull { listed[it] }.associate { it.id to it.status.start }
    }

    private fun detect(message: EngineEndMessage) {
        val now = clock.now()
        val next = EngineEndDetector.step(detector, message, now)
        detector = next.state
        next.effects.forEach { crashObserved(it, now) }
    }

    private fun crashObserved(observation: CrashObservation, now: Duration) {
        if (observation.run !in ledger.crashes) dependencies.countCrash()
        dependencies.log(
            "engine_end_observed",
            arrayOf(
                "server" to observation.run.engine,
                "start" to observation.run.start?.unixMillis,
                "attempts" to observation.requests.joinToString(",") { it.attempt.value },
            ),
        )
        update(CrashAttribution.observed(ledger, observation, now, answered))
    }

    private fun update(next: CrashLedger) {
        if (next === ledger) return
        ledger = next
        reportBlocks()
        dependencies.onNewEvidence()
    }

    private fun reportBlocks() {
        if (ledger.crashes.isEmpty() && knownBlocks.isEmpty()) return
        val blocked = CrashAttribution.blocked(ledger, clock.now(), answered)
        if (blocked.keys == knownBlocks) return
        val added = blocked.filterKeys { it !in knownBlocks }
        (knownBlocks - blocked.keys).forEach { dependencies.log(BlockEvent.UNBLOCKED.of(it), arrayOf(it.logField)) }
        knownBlocks = blocked.keys.toSet()
        for (block in added.values) dependencies.log(BlockEvent.BLOCKED.of(block.trait), block.logFields())
        if (added.isNotEmpty()) dependencies.onBlocked()
    }

    private fun BlockedTrait.logFields(): Array<Pair<String, Any?>> = arrayOf(
        trait.logField,
        "crashes" to crashes.toLogValue(),
        "attempts" to attempts.joinToString(",") { it.value },
    )

    private val RequestTrait.logField: Pair<String, Any?>
        get() = when (this) {
            is PromptPart -> "part" to id
            is RequestDigest -> "digest" to id
        }

    private val ChosenBackend.run get() = EngineRun(server, start)

    private fun List<EngineRun>.toLogValue() = joinToString(",") { "${it.engine}:${it.start?.unixMillis ?: ""}" }
}
