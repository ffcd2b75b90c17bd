package redwingcross.controller

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import redwingcross.connection.engine.EngineClient
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.standins.engine.EngineFaults
import redwingcross.standins.engine.EngineHost
import redwingcross.standins.engine.EngineSettings
import redwingcross.standins.engine.EngineSpec
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import redwingcross.version.bundle.ModelEntry
import redwingcross.version.bundle.VmEntry
import redwingcross.version.control.AcceptedBundle
import redwingcross.version.control.ControlState
import redwingcross.version.control.ControlView
import redwingcross.version.placement.Generation
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.MemberTimeouts
import redwingcross.version.placement.PlacementSettings
import redwingcross.version.placement.ReconcilerSettings
import redwingcross.version.placement.ZoneStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a controller whose zone tasks do not send their orders to the engines, and against a repair that forms
 * the group anew instead of replacing only the failed VM.
 */
class ControllerRuntimeTest {
    private val zone = AvailabilityZone("ub-a")
    private val vms = (1..5).map { Vm("vm-$it") }
    private val model = ModelEntry(ServiceName("crew-brief"), "1", 4, mapOf(zone to 1), coldLimit = 2, warmLimit = 8)

    private fun bundle(host: EngineHost) = Bundle(
        name = "test",
        region = "ub",
        zones = listOf(zone),
        vms = vms.map { VmEntry(it, zone, FabricDomain("d1"), Endpoint(host.endpoint(it)), accelerators = 8) },
        gateways = emptyList(),
        models = listOf(model),
        services = emptyList(),
        customers = emptyList(),
    )

    private fun view(host: EngineHost) =
        ControlView(ControlState(AcceptedBundle(BundleVersion(1), bundle(host), "digest", "operator", "nonce")))

    private suspend fun Channel<ZoneStatus>.awaitReady(generation: Long): GroupStatus = withTimeout(30.seconds) {
        var found: GroupStatus? = null
        while (found == null) {
            found =
                receive().groups.singleOrNull {
                    it.readiness == GroupReadiness.READY && it.generation == Generation(generation)
                }
        }
        found
    }

    private fun chat(group: GroupStatus): String {
        val body = """{"model":"crew-brief","messages":[{"role":"user","content":"roof 7"}],"max_tokens":4}"""
        val request =
            Request
                .Builder()
                .url("http://${group.leaderEndpoint}/v1/chat/completions")
                .header("X-Attempt-Id", "a-${group.generation}")
                .header("X-Group", group.group.value)
                .header("X-Group-Generation", group.generation.value.toString())
                .post(body.toRequestBody())
                .build()
        return OkHttpClient().newCall(request).execute().use { it.body.string() }
    }

    @Test
    fun `forms a group from the accepted bundle and replaces a failed VM with a spare one`(): Unit =
        runBlocking(Dispatchers.Default) {
            val engineSettings = EngineSettings(loadTime = 200.milliseconds)
            EngineHost(vms.map { EngineSpec(it, 0, engineSettings) }).use { host ->
                EngineClient().use { engines ->
                    val memory = MemoryStore()
                    val statuses = Channel<ZoneStatus>(Channel.UNLIMITED)
                    val dependencies =
                        ControllerDependencies(
                            store = memory.store,
                            views = flowOf(view(host)),
                            readReport = engines.readReport,
                            sendOrder = engines.sendOrder,
                            rank = { 0 },
                            publishStatus = { statuses.trySend(it) },
                        )
                    val times = MemberTimeouts(1.seconds, 3.seconds, 10.seconds, 200.milliseconds)
                    val settings = ReconcilerSettings(placement = PlacementSettings(times), tick = 50.milliseconds)
                    val runtime =
                        ControllerRuntime(ProcessName("c1"), "i1", dependencies, MonotonicClock.system, settings)
                    val job = launch { runtime.run() }

                    val formed = statuses.awaitReady(generation = 1)
                    assertEquals(vms.take(4), formed.members)
                    val answer = chat(formed)
                    assertTrue(answer.endsWith("data: [DONE]\n\n"), answer)

                    host.setFaults(Vm("vm-2"), EngineFaults(down = true))
                    val repaired = statuses.awaitReady(generation = 2)
                    assertEquals(listOf("vm-1", "vm-5", "vm-3", "vm-4").map(::Vm), repaired.members)
                    assertEquals(answer, chat(repaired))

                    runtime.stop()
                    job.cancelAndJoin()
                }
            }
        }
}
