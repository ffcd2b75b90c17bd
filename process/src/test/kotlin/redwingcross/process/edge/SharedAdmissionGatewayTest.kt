package redwingcross.process.edge

import redwingcross.request.MonotonicClock
import redwingcross.version.admission.BackendKind
import redwingcross.version.admission.DemandView
import redwingcross.version.admission.KindDemand
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Guards against requests that are refused at their objective although they can still be answered, requests that are
 * held although the fleet can't answer them, and a refusal of a request of which something was sent.
 */
class SharedAdmissionGatewayTest : GatewayFixture(isAdmissionShared = true) {
    private val shared get() = assertNotNull(gateway.sharedWaiting)

    private fun demandKnown(waitingLate: Int = 0, freedPerSecond: Double = 10.0) = onLoop {
        val demand = KindDemand(pool.slots, pool.slots, 0, waitingLate, freedPerSecond, 0.0)
        shared.demandChanged(DemandView(mapOf(BackendKind(model.value) to demand), MonotonicClock.system.now()))
    }

    private fun occupySlots() = List(pool.slots) { generate("p1").let { it to nextArrival() } }

    @Test
    fun `a request waits beyond its objective and gets the slot that comes free`() {
        startEngines(1)
        val running = occupySlots()
        demandKnown()
        val caller = generate("p1")
        awaitWaitingRequest()
        Thread.sleep(400)
        onLoop(gateway::checkProgress)
        assertEquals(1, onLoop { shared.lateSize })
        onLoop { shared.report() }
        demandKnown()
        running.first().second.respondSigned("id: 1\ndata: a\n\n")
        nextArrival().respondSigned("id: 1\ndata: b\n\n")
        assertTrue("data: b" in caller.readAnswer())
        running.forEach { it.first.close() }
    }

    @Test
    fun `a request that the fleet can't answer before its deadline is refused at once and not sent`() {
        startEngines(1)
        val running = occupySlots()
        demandKnown(waitingLate = 500, freedPerSecond = 1.0)
        val answer = generate("p1").readAnswer()
        assertTrue("503" in answer && "Retry-Delay" in answer, answer)
        assertNull(arrivals.poll(100, TimeUnit.MILLISECONDS))
        running.map { it.first }.forEach(Socket::close)
    }

    @Test
    fun `the demand is reported once, and not at all without requests`() {
        startEngines(1)
        assertNull(onLoop { shared.report() })
        val running = occupySlots()
        demandKnown()
        generate("p1").use {
            awaitWaitingRequest()
            val counts = DemandCounts.of(assertNotNull(onLoop { shared.report() }))
            assertEquals(KindCounts(1, 0, 0, 0), counts?.get(CompactName.of(model.value)))
        }
        running.first().second.respondSigned("id: 1\ndata: a\n\n")
        running.first().first.readAnswer()
        assertNotNull(onLoop { shared.report() })
        assertNull(onLoop { shared.report() })
        running.forEach { it.first.close() }
    }
}
