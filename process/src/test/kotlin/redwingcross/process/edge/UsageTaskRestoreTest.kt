package redwingcross.process.edge

import redwingcross.process.usage.UsageEffect
import redwingcross.process.usage.UsageMessage
import redwingcross.process.usage.UsageSettings
import redwingcross.request.Customer
import redwingcross.request.MonotonicClock
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a process that gives up storing its reports again once it doesn't hold the lease. */
class UsageTaskRestoreTest {
    private var now = Duration.ZERO
    private var epoch: LeaseEpoch? = LeaseEpoch(4)
    private var isStoreDown = false
    private val created = mutableListOf<UsageEffect.Create>()
    private val results = ArrayDeque<UsageMessage>()

    private val task = UsageTask(
        GatewayRecord("n1", 1, "10.0.0.1", 7000, "10.0.0.1:80", "a"),
        UsageSettings(null),
        isFirstStart = true,
        UsageDependencies(
            wallMillis = { 1_800_000_000_000 + now.inWholeMilliseconds },
            validEpoch = { epoch },
            isActiveController = { epoch != null },
            fleetSize = { 1 },
            receivers = { emptyList() },
            send = { _, _ -> },
            call = { results += answer(it) },
            countWindows = { _, _ -> },
            log = { _, _ -> },
        ),
        MonotonicClock { now },
    )

    private fun answer(effect: UsageEffect): UsageMessage = when (effect) {
        is UsageEffect.Read -> UsageMessage.Absent(effect.call)
        is UsageEffect.Create -> {
            created += effect
            if (isStoreDown) UsageMessage.StoreFailed(effect.call) else UsageMessage.Created(effect.call)
        }
        is UsageEffect.Send -> UsageMessage.Acknowledged(effect.call)
        else -> error("$effect is no call")
    }

    private fun runUntil(end: Duration) {
        while (now < end) {
            now += 100.milliseconds
            task.handle(UsageTaskMessage.Check)
            while (results.isNotEmpty()) task.handle(UsageTaskMessage.CallCompleted(results.removeFirst()))
        }
    }

    @Test
    fun `a former holder stores its reports again although the first call fails`() {
        runUntil(4.seconds)
        task.handle(UsageTaskMessage.Began(Customer("ana"), now))
        runUntil(11.seconds)
        val fixed = created.single().stored
        epoch = null
        isStoreDown = true
        task.handle(UsageTaskMessage.StoreRestored)
        runUntil(11.2.seconds)
        isStoreDown = false
        runUntil(13.seconds)
        assertEquals(List(3) { fixed }, created.map { it.stored }, "fixed, failed, stored again")
    }
}
