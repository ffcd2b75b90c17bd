package redwingcross.controller

import redwingcross.request.AvailabilityZone

/** Roles of this controller in one zone: holder of the zone's lease, and first observer of the zone. */
internal data class ZoneRoles(val zone: AvailabilityZone, val isHolder: Boolean, val isObserver: Boolean)
