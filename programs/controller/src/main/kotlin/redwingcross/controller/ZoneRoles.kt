package redwingcross.controller

import redwingcross.request.AvailabilityZone

/** What this controller does for one zone at the moment. */
internal data class ZoneRoles(val zone: AvailabilityZone, val isHolder: Boolean, val isObserver: Boolean)
