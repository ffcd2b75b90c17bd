package redwingcross.process.edge

import io.github.oshai.kotlinlogging.KotlinLogging
import redwingcross.request.MonotonicClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against metrics that miss events because their log lines were dropped. */
class EventLogTest {
    private val counted = mutableListOf<Pair<String, String>>()
    private val log =
        EventLog(KotlinLogging.logger("test"), MonotonicClock { 1.seconds }, linesPerSecond = 2) { event, outcome ->
            counted += event to outcome
        }

    @Test
    fun `events whose log lines are dropped are still counted`() {
        repeat(5) { log.info("offer_ended", arrayOf("attempt" to "a", "end" to "Lost")) }
        assertEquals(List(5) { "offer_ended" to "Lost" }, counted)
    }

    @Test
    fun `an event without an outcome is counted with an empty outcome`() {
        log.warn("store_lost", arrayOf("detail" to "connection refused by 10.0.0.1"))
        assertEquals(listOf("store_lost" to ""), counted)
    }
}
