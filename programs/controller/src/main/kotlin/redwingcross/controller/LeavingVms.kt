package redwingcross.controller

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.transform
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import redwingcross.connection.platform.ObjectKind
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WatchEvent
import redwingcross.connection.platform.WatchKind
import redwingcross.request.Vm

/** Kind of the objects in which the platform lists its VMs. */
internal val VMS_KIND = ObjectKind("vms")

/** The VMs that the platform lists as leaving, each time that the set changes. */
internal fun leavingVms(watch: WatchKind): Flow<Set<Vm>> {
    var leaving = emptySet<Vm>()
    return watch(VMS_KIND).transform { event ->
        val next =
            when (event) {
                is WatchEvent.Snapshot -> event.objects.filter { it.isLeaving() }.map { it.vm() }.toSet()
                is WatchEvent.Changed ->
                    if (event.value.isLeaving()) leaving + event.value.vm() else leaving - event.value.vm()
                is WatchEvent.Deleted -> leaving - Vm(event.key.name)
                WatchEvent.Unchanged, is WatchEvent.Unavailable -> leaving
            }
        if (next != leaving) {
            leaving = next
            emit(next)
        }
    }
}

private fun StoredObject.vm() = Vm(key.name)

private fun StoredObject.isLeaving() = ((value as? JsonObject)?.get("state") as? JsonPrimitive)?.content == "leaving"
