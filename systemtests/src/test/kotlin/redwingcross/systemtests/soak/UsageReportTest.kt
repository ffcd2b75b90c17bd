package redwingcross.systemtests.soak

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import redwingcross.connection.http.CallerExchange
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against real processes that report no usage, report it in two versions or too high. The process that holds the
 * lease is killed under load, and the platform rejects or doesn't answer some of the calls.
 */
class UsageReportTest {
    private val findings = ConcurrentLinkedQueue<String>()
    private val reports = ConcurrentHashMap<Long, String>()
    private val holders = ConcurrentLinkedQueue<Pair<String?, Long?>>()
    private var calls = 0

    private val deployment =
        SoakDeployment(Path.of("target", "soak", "usage"), subnet = 251, nodeCount = 3, cloud = ::serve)

    private fun serve(exchange: CallerExchange) {
        val headers = exchange.head.headers
        val holder = headers.get("Duty-Holder") to headers.get("Fencing-Token")?.toLongOrNull()
        if (exchange.head.target != "/usage" || holder.second == null) findings += "call ${exchange.head}"
        if (holder != holders.lastOrNull()) holders += holder
        val body = exchange.body.decodeToString()
        val window = Json.parseToJsonElement(body).jsonObject.getValue("window").jsonPrimitive.long
        when (++calls % FAULT_PERIOD) {
            BUSY_CALL -> exchange.respond(BUSY, DefaultHttpHeaders(), ByteArray(0))
            UNANSWERED_CALL -> {
                recordReport(window, body)
                exchange.abort()
            }
            else -> {
                recordReport(window, body)
                exchange.respond(OK, DefaultHttpHeaders(), ByteArray(0))
            }
        }
    }

    private fun recordReport(window: Long, body: String) {
        val before = reports.putIfAbsent(window, body)
        if (before != null && before != body) findings += "$before, then $body"
    }

    private fun reported() = reports.values.sumOf { body ->
        Json.parseToJsonElement(body).jsonObject.getValue("counts").jsonObject.values.sumOf { it.jsonPrimitive.int }
    }

    @Test
    fun `usage is reported once and not too high while the holder is killed`() {
        deployment.use {
            deployment.start()
            deployment.awaitServing()
            SoakCallers({ deployment.addresses }, seed = 1).use { callers ->
                Thread.sleep(LOAD_MILLIS)
                val first = holders.lastOrNull()?.first
                val holder = deployment.nodes.first { it.name == first }
                holder.process?.close()
                Thread.sleep(LOAD_MILLIS)
                callers.close()
                Thread.sleep(QUIET_MILLIS)
                deployment.onLoop {
                    val began = deployment.fabric.runs.values.sum()
                    println("windows=${reports.size} reported=${reported()} began=$began holders=$holders")
                    assertEquals(emptyList(), findings.toList())
                    assertTrue(reported() <= began, "${reported()} of $began")
                    assertTrue(reported() >= began * MINIMUM_SHARE, "${reported()} of $began")
                    assertTrue(
                        holders.size >= 2 &&
                            holders.map {
                                it.second ?: 0
                            }.zipWithNext().all { (a, b) -> a < b },
                    )
                }
                assertEquals(emptyList(), callers.findings + deployment.exceptions())
            }
        }
    }

    private companion object {
        /** Two windows of 5 s and a takeover. */
        const val LOAD_MILLIS = 14_000L

        /** The last window ends after 5 s at most and is reported 10 s later. */
        const val QUIET_MILLIS = 16_000L
        const val FAULT_PERIOD = 4
        const val BUSY_CALL = 2
        const val UNANSWERED_CALL = 3
        const val OK = 200
        const val BUSY = 429

        /** The window in which all processes started is incomplete, and its requests are in no report. */
        const val MINIMUM_SHARE = 0.7
    }
}
