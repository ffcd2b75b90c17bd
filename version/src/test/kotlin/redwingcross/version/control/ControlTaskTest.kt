package redwingcross.version.control

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.ObjectVersion
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WatchEvent
import redwingcross.connection.platform.WatchKind
import redwingcross.request.Vm
import redwingcross.version.routing.accepted
import redwingcross.version.routing.bundleOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against control objects that are decoded incorrectly, and against a view that stays fresh too long because its
 * age is counted from the response instead of the request.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class ControlTaskTest {
    private val bundle = accepted(4, bundleOf(0..2))
    private val overrides = Overrides(OverridesVersion(7), zonesOut = setOf(bundle.bundle.zones[0]))

    @Test
    fun `the view contains the platform's objects and is fresh for 5 s after the request`() = runTest {
        val objects = mapOf(
            CONTROL_KIND to listOf(
                StoredObject(ObjectKey(CONTROL_KIND, "bundle"), ObjectVersion(9), Json.encodeToJsonElement(bundle)),
                StoredObject(
                    ObjectKey(CONTROL_KIND, "overrides"),
                    ObjectVersion(8),
                    Json.encodeToJsonElement(overrides),
                ),
            ),
            VMS_KIND to listOf("live", "leaving").mapIndexed { index, state ->
                val value = buildJsonObject { put("state", state) }
                StoredObject(ObjectKey(VMS_KIND, "vm-$index"), ObjectVersion(index + 1L), value)
            },
        )
        val watch: WatchKind = { kind ->
            flow {
                delay(1.seconds)
                emit(WatchEvent.Snapshot(objects.getValue(kind)))
                while (true) {
                    delay(1.seconds)
                    emit(WatchEvent.Unavailable("down"))
                }
            }
        }
        val settings = ViewSettings()
        val task =
            ControlTask(ControlDecision(settings, 3, startedAt = 0.seconds), settings, {
                currentTime.milliseconds
            }, watch, {}) {}
        backgroundScope.launch { task.run() }
        delay(4900.milliseconds)

        val view = task.view.value
        assertEquals(ControlState(bundle, overrides, LeavingVms(VmListVersion(2), setOf(Vm("vm-1")))), view.control)
        assertTrue(view.isFresh(currentTime.milliseconds))
        assertEquals(4900.milliseconds, task.stamp()?.age, "the age is counted from the request, not from the response")
        delay(100.milliseconds)
        assertFalse(view.isFresh(currentTime.milliseconds))
    }
}
