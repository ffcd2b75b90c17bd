package redwingcross.connection.http

import io.netty.channel.nio.NioEventLoopGroup
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against timers that wake an idle process many times a second, and against a process that repeats all missed
 * runs at once after it was suspended.
 */
class PeriodicActionsTest {
    @Test
    fun `actions with periods that are multiples of each other are due at the same moments`() {
        val elapsed = 7_123_456_789L
        val slow = elapsed + nanosUntilNextRun(elapsed, 500.milliseconds)
        assertEquals(0, slow % 100.milliseconds.inWholeNanoseconds)
        assertTrue(nanosUntilNextRun(elapsed, 100.milliseconds) <= 100.milliseconds.inWholeNanoseconds)
    }

    @Test
    fun `a run that takes many periods is followed by one run`() {
        val loop = NioEventLoopGroup(1).next()
        val runs = AtomicInteger()
        val second = CountDownLatch(2)
        val runsAfterBlock = AtomicInteger()
        loop.runEach(50.milliseconds) {
            val run = runs.incrementAndGet()
            if (run == 1) {
                TimeUnit.MILLISECONDS.sleep(300)
                // Runs after whatever was scheduled for the time of the block.
                loop.execute { runsAfterBlock.set(runs.get()) }
            }
            second.countDown()
        }
        assertTrue(second.await(10, TimeUnit.SECONDS))
        assertEquals(1, runsAfterBlock.get())
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `an action that fails runs again`() {
        val loop = NioEventLoopGroup(1).next()
        val runs = CountDownLatch(2)
        loop.runEach(10.milliseconds) {
            runs.countDown()
            error("failed run")
        }
        assertTrue(runs.await(10, TimeUnit.SECONDS))
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}
