package redwingcross.process.edge

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against callers that are refused by a process that has just started and could serve them a moment later. */
class StartupRequestsTest : GatewayFixture(isAdmissionShared = true) {
    private fun awaitHeld() {
        val deadline = TimeSource.Monotonic.markNow() + 5.seconds
        while (onLoop { gateway.runningRequests } == 0) {
            assertTrue(deadline.hasNotPassedNow(), "no request is held after 5 s")
            Thread.sleep(10)
        }
    }

    @Test
    fun `a request that arrives before the configuration is served once it is known`() {
        generate("p1").use { caller ->
            awaitHeld()
            startEngines(1)
            onLoop(gateway::checkProgress)
            nextArrival().respondSigned("id: 1\ndata: a\n\n")
            assertTrue("data: a" in caller.readAnswer())
        }
    }

    @Test
    fun `a request that is held for too long is refused as not run`() {
        generate("p1").use { caller ->
            awaitHeld()
            val deadline = TimeSource.Monotonic.markNow() + 5.seconds
            while (onLoop { gateway.runningRequests } > 0 && deadline.hasNotPassedNow()) {
                onLoop(gateway::checkProgress)
                Thread.sleep(10)
            }
            val answer = caller.readAnswer()
            assertTrue("503" in answer && "Retry-Delay" in answer, answer)
        }
    }

    @Test
    fun `a request that is held when the process stops is refused as not run`() {
        generate("p1").use { caller ->
            awaitHeld()
            onLoop(gateway::endRequests)
            val answer = caller.readAnswer()
            assertTrue("503" in answer && "Retry-Delay" in answer, answer)
        }
    }
}

/** Guards against requests that are held where admission isn't shared. */
class StartupRefusalTest : GatewayFixture() {
    @Test
    fun `without the feature a request before the configuration is refused`() {
        assertTrue("503" in generate("p1").readAnswer())
    }
}
