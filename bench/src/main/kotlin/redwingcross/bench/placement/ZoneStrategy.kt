package redwingcross.bench.placement

import redwingcross.version.placement.ServingGroup
import kotlin.time.Duration

/** Called once a second with the VMs of a zone; sends orders to them and returns the groups that should serve. */
internal typealias ZoneStrategy = (vms: List<BenchVm>, now: Duration) -> List<ServingGroup>

/** Largest number of VMs of a zone that load weights at the same time, for every strategy. */
internal const val MAX_CONCURRENT_LOADS = 16
