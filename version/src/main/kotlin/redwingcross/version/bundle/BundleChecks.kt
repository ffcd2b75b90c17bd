package redwingcross.version.bundle

import redwingcross.request.Finding

/** Checks the consistency of a bundle whose fields are well-formed. The result is empty for a valid bundle. */
fun checkBundle(bundle: Bundle): List<Finding> = listOf(
    duplicates("availabilityZones", "availability zone", bundle.zones.map { it.value }),
    duplicates("vms", "VM", bundle.vms.map { it.vm.value }),
    duplicates("vms", "engine address", bundle.vms.map { it.engine.value }),
    duplicates("gateways", "gateway", bundle.gateways.map { it.gateway.value }),
    duplicates("gateways", "address", bundle.gateways.flatMap { listOf(it.caller.value, it.peer.value) }),
    duplicates(
        "models and services",
        "service",
        bundle.models.map { it.model.value } + bundle.services.map { it.service.value },
    ),
    duplicates("services", "backend server", bundle.services.flatMap { it.instances }.map { it.server.value }),
    duplicates("customers", "customer", bundle.customers.map { it.customer.value }),
    emptySections(bundle),
    domainsInSeveralZones(bundle),
    bundle.models.flatMap { modelFindings(bundle, it) },
    zoneCapacityFindings(bundle),
).flatten()

private fun duplicates(place: String, label: String, names: List<String>): List<Finding> =
    names.groupingBy { it }.eachCount()
        .filterValues { it > 1 }
        .map { (name, count) -> Finding(place, "$label \"$name\" is declared $count times") }

private fun emptySections(bundle: Bundle): List<Finding> = listOfNotNull(
    Finding("availabilityZones", "must not be empty").takeIf { bundle.zones.isEmpty() },
    Finding("gateways", "must not be empty").takeIf { bundle.gateways.isEmpty() },
)

private fun domainsInSeveralZones(bundle: Bundle): List<Finding> = bundle.vms.groupBy({ it.fabricDomain }, { it.zone })
    .mapValues { it.value.distinct() }
    .filterValues { it.size > 1 }
    .map { (domain, zones) ->
        Finding("vms", "fabric domain \"$domain\" has VMs in several availability zones: ${zones.joinToString()}")
    }

private fun modelFindings(bundle: Bundle, model: ModelEntry): List<Finding> {
    val place = "models.${model.model}"
    val known = bundle.vms.map { it.fabricDomain }.toSet()
    val unknownDomains = model.fabricDomains.filter { it !in known }
        .map { Finding("$place.fabricDomains", "fabric domain \"$it\" has no VM") }
    val limits = listOfNotNull(
        Finding("$place.coldLimit", "must not exceed warmLimit ${model.warmLimit}")
            .takeIf { model.coldLimit > model.warmLimit },
    )
    return unknownDomains + limits
}

/** Checks that each zone has enough VMs for its groups, given that all VMs of a group must share a fabric domain. */
private fun zoneCapacityFindings(bundle: Bundle): List<Finding> = bundle.zones.flatMap { zone ->
    val domains = bundle.vms.filter { it.zone == zone }.groupBy { it.fabricDomain }.mapValues { it.value.size }
    bundle.models.mapNotNull { model ->
        val wanted = model.groupsByZone[zone] ?: 0
        val allowed = domains.filterKeys { model.fabricDomains.isEmpty() || it in model.fabricDomains }
        val possible = allowed.values.sumOf { it / model.vmsPerGroup }
        Finding(
            "models.${model.model}.groups.$zone",
            "wants $wanted groups of ${model.vmsPerGroup} VMs, but its fabric domains can hold $possible",
        ).takeIf { wanted > possible }
    }
}
