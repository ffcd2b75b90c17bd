package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineTableTest {
    private val id = BackendServer("e1")
    private val membership = GroupMembership(GroupId("small.7"), GroupEpoch(7), 0, MemberPhase.READY)

    private fun report(orders: Long, start: Long = 1, membership: GroupMembership? = null) =
        EngineReport(EngineStart(start), OrderCount(orders), emptyList(), membership)

    @Test
    fun `an entry that lags behind a report does not undo it and has the engine asked again`() {
        val table = EngineTable()
            .listed(engineStatus("e1"), Duration.ZERO)
            .reported(id, report(3, membership = membership), 1.seconds)
            .listed(engineStatus("e1"), 1.5.seconds)
        assertEquals(membership, table.engines.getValue(id).status.membership)
        assertTrue(table.engines.getValue(id).isContested)
    }

    @Test
    fun `an entry from before an outage of the store does not undo what the engine reported`() {
        val table = EngineTable()
            .listed(engineStatus("e1"), Duration.ZERO)
            .reported(id, report(3, membership = membership), 1.seconds)
            .listed(engineStatus("e1"), 9.seconds)
        val engine = table.engines.getValue(id)
        assertEquals(membership, engine.status.membership, "an engine that counts as idle is joined to a second group")
        assertTrue(engine.isContested)
    }

    @Test
    fun `once the process no longer asks engines the list counts alone`() {
        val table = EngineTable()
            .listed(engineStatus("e1"), Duration.ZERO)
            .reported(id, report(3, membership = membership), 1.seconds)
            .withoutReports()
            .listed(engineStatus("e1"), 9.seconds)
        val engine = table.engines.getValue(id)
        assertNull(engine.status.membership)
        assertNull(engine.orders)
    }

    @Test
    fun `the entry of a new start replaces what the earlier start reported`() {
        val table = EngineTable()
            .listed(engineStatus("e1"), Duration.ZERO)
            .reported(id, report(3, membership = membership), 1.seconds)
            .listed(engineStatus("e1", start = 2), 1.1.seconds)
        val engine = table.engines.getValue(id)
        assertNull(engine.status.membership)
        assertNull(engine.orders)
    }

    @Test
    fun `the late entry of an earlier start does not replace a newer report`() {
        val table = EngineTable()
            .listed(engineStatus("e1", start = 1), Duration.ZERO)
            .reported(id, report(0, start = 2, membership = membership), 1.seconds)
            .listed(engineStatus("e1", start = 1), 1.1.seconds)
        assertEquals(EngineStart(2), table.engines.getValue(id).status.start)
    }

    @Test
    fun `engines of a zone that comes back count as cold`() {
        val zone = engineStatus("e1").zone
        val out = EngineTable().listed(engineStatus("e1"), Duration.ZERO)
            .evacuated(setOf(zone), 1.seconds, coldFor = 3.seconds)
        assertTrue(!out.takesWork(out.engines.getValue(id)))
        val back = out.evacuated(emptySet(), 10.seconds, coldFor = 3.seconds)
        assertTrue(back.takesWork(back.engines.getValue(id)))
        assertTrue(back.isCold(back.engines.getValue(id), 12.seconds))
        assertTrue(!back.isCold(back.engines.getValue(id), 13.seconds + 1.milliseconds))
    }
}
