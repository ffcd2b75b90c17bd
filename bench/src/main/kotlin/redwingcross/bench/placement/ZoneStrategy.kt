package redwingcross.bench.placement

import redwingcross.version.placement.ServingGroup
import kotlin.time.Duration

/** Looks at the VMs of a zone once a second, gives orders to them and returns the groups that should serve. */
internal typealias ZoneStrategy = (vms: List<BenchVm>, now: Duration) -> List<ServingGroup>

/** VMs of a zone that may load weights at once, for every strategy. */
internal const val MAX_CONCURRENT_LOADS = 16
