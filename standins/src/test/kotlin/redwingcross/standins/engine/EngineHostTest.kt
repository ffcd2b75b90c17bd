package redwingcross.standins.engine

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import redwingcross.connection.engine.EngineClient
import redwingcross.connection.engine.EngineOrder
import redwingcross.connection.engine.EngineReport
import redwingcross.connection.engine.EngineResult
import redwingcross.connection.engine.OrderAnswer
import redwingcross.connection.engine.OrderedMember
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import java.io.IOException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a stand-in that accepts requests or orders that a real engine refuses, which would hide faults. */
class EngineHostTest {
    private val settings =
        EngineSettings(coldLimit = 1, loadTime = 50.milliseconds, memberReportLifetime = 0.milliseconds)
    private val vms = listOf("a", "b", "c").map(::Vm)
    private val host =
        EngineHost(vms.map { EngineSpec(it, 0, settings.copy(checksFencing = it != Vm("c"))) })
    private val engines = EngineClient()
    private val http = OkHttpClient.Builder().retryOnConnectionFailure(false).build()

    @AfterTest
    fun stop() {
        engines.close()
        host.close()
    }

    private fun formGroup(group: String, members: List<Vm>, fencing: Long = 1) = runBlocking {
        val list = members.map { OrderedMember(it, host.endpoint(it)) }
        members.mapIndexed { rank, vm ->
            val order = EngineOrder(fencing, GroupId(group), 1, rank, list, ServiceName("m"), "1")
            (engines.sendOrder(host.endpoint(vm), order) as EngineResult.Answered).value
        }
    }

    private fun report(vm: Vm): EngineReport =
        runBlocking { (engines.readReport(host.endpoint(vm)) as EngineResult.Answered).value }

    private fun awaitReady(vms: List<Vm>) =
        runBlocking { withTimeout(10.seconds) { while (!vms.all { report(it).ready }) delay(20.milliseconds) } }

    private fun chat(leader: Vm, group: String, offset: Int = 0, tokens: Int = 6): Pair<Int, String> {
        val body = """{"model":"m","messages":[{"role":"user","content":"filter 9"}],"max_tokens":$tokens}"""
        val request =
            Request
                .Builder()
                .url("http://${host.endpoint(leader)}/v1/chat/completions")
                .header("X-Attempt-Id", "attempt")
                .header("X-Group", group)
                .header("X-Group-Generation", "1")
                .header("X-Resume-Offset", offset.toString())
                .post(body.toRequestBody())
                .build()
        return http.newCall(request).execute().use { it.code to it.body.string() }
    }

    @Test
    fun `a stream that is resumed at another group continues identically`() {
        formGroup("g1", listOf(vms[0]))
        formGroup("g2", listOf(vms[1]))
        awaitReady(vms.take(2))
        val full = chat(vms[0], "g1").second
        val rest = chat(vms[1], "g2", offset = 4).second
        assertTrue(rest.startsWith("id: 4\n"), rest)
        assertTrue(full.endsWith(rest), "$full does not end with $rest")
    }

    @Test
    fun `a leader refuses requests while a member is in another group or does not respond`() {
        formGroup("g1", vms)
        awaitReady(vms)
        assertEquals(200, chat(vms[0], "g1").first)
        assertEquals(409, chat(vms[0], "g2").first)
        assertEquals(409, chat(vms[1], "g1").first)
        formGroup("g2", listOf(vms[2]))
        assertEquals(409, chat(vms[0], "g1").first)
        formGroup("g1", vms)
        awaitReady(vms)
        host.setFaults(vms[1], EngineFaults(down = true))
        assertEquals(409, chat(vms[0], "g1").first)
    }

    @Test
    fun `an old fencing token is refused only by engines that check it`() {
        formGroup("g1", vms, fencing = 5)
        val results = formGroup("g1", vms, fencing = 4)
        assertEquals(listOf(OrderAnswer.Fenced(5), OrderAnswer.Fenced(5), OrderAnswer.Accepted), results)
    }

    @Test
    fun `a cold engine that exceeds its limit crashes and needs a new order`() {
        formGroup("g1", listOf(vms[0]))
        awaitReady(vms.take(1))
        val before = report(vms[0]).bootId
        val first = runBlocking { host.startStream(vms[0]) }
        assertFailsWith<IOException> { chat(vms[0], "g1") }
        assertEquals(RunEnd.CRASHED, host.runs(vms[0])[first].end)
        val after = report(vms[0])
        assertNotEquals(before, after.bootId)
        assertEquals(null, after.group)
    }

    @Test
    fun `faults cut, swap and lose responses, and every attempt is listed`() {
        formGroup("g1", listOf(vms[0]))
        awaitReady(vms.take(1))
        host.setFaults(vms[0], EngineFaults(cutNext = 1))
        assertFailsWith<IOException> { chat(vms[0], "g1") }
        host.setFaults(vms[0], EngineFaults(loseAnswerNext = 1))
        assertFailsWith<IOException> { chat(vms[0], "g1") }
        val plain = chat(vms[0], "g1").second
        host.setFaults(vms[0], EngineFaults(crossNext = 1))
        assertNotEquals(plain, chat(vms[0], "g1").second)
        assertEquals(4, host.runs(vms[0]).size)
    }

    /** Starts a long stream without reading it and returns its index in the list of runs. */
    private suspend fun EngineHost.startStream(vm: Vm): Int {
        val body = """{"model":"m","messages":[],"max_tokens":100000}"""
        val request =
            Request
                .Builder()
                .url("http://${endpoint(vm)}/v1/chat/completions")
                .header("X-Group", "g1")
                .header("X-Group-Generation", "1")
                .post(body.toRequestBody())
                .build()
        val response = http.newCall(request).execute()
        check(response.code == 200)
        withTimeout(5.seconds) { while (runs(vm).isEmpty()) delay(10.milliseconds) }
        return runs(vm).lastIndex
    }
}
