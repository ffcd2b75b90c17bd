package redwingcross.bench.replay

import redwingcross.version.admission.DemandView
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a decision that wastes slots at a load peak: requests that are late in any case take the slots of
 * those that could be in time, or requests are refused while a slot is free that could have served them.
 */
class AdmissionReplayTest {
    private val local: AdmitAtGateway = { LocalAdmission(it).functions }
    private val shared: AdmitAtGateway = { SharedAdmission(it).functions }

    private fun replay(peak: ReplayedPeak, admit: AdmitAtGateway) = AdmissionReplay(peak, admit).run()

    @Test
    fun `at a peak with two of eleven groups lost, more requests are in time than with the local decision`() {
        for (gateways in listOf(8, 75, 109, 350)) {
            val peak = ReplayedPeak(gateways, seed = 1)
            val withLocal = replay(peak, local)
            val withShared = replay(peak, shared)
            assertTrue(
                withShared.inTimeShare > withLocal.inTimeShare + 0.1,
                "$gateways gateways: $withShared, local $withLocal",
            )
            assertTrue(withShared.served > 0.998, "$gateways gateways: $withShared")
            assertTrue(withShared.refusedWithFreeSlot < withShared.requests / 100, "$gateways gateways: $withShared")
            assertTrue(withLocal.refusedWithFreeSlot > withLocal.requests / 100, "$gateways gateways: $withLocal")
        }
    }

    @Test
    fun `with views that are too old the decision is the local one`() {
        val peak = ReplayedPeak(109, seed = 2)
        val stale = peak.copy(receivedView = { _, view, now -> view.copy(takenAt = now - DemandView.VALIDITY) })
        val lost = peak.copy(receivedView = { _, _, _ -> null })
        val withLocal = replay(peak, local).toString()
        assertEquals(withLocal, replay(stale, shared).toString())
        assertEquals(withLocal, replay(lost, shared).toString())
    }

    @Test
    fun `lost views and a controller that repeats an old one for a while leave nobody without an answer`() {
        val cut = 8.seconds..14.seconds
        var last: DemandView? = null
        val paused = ReplayedPeak(109, seed = 3, receivedView = { _, view, now ->
            if (now !in cut) last = view
            last
        })
        val partly = ReplayedPeak(109, seed = 3, receivedView = { gateway, view, now ->
            view.takeIf { now !in cut || gateway % 2 == 0 }
        })
        val withLocal = replay(paused, local)
        for (peak in listOf(paused, partly)) {
            val withShared = replay(peak, shared)
            assertTrue(withShared.served > 0.99, "$withShared")
            assertTrue(withShared.inTimeShare > withLocal.inTimeShare, "$withShared, local $withLocal")
        }
    }
}
