package redwingcross.version.bundle

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Checked
import redwingcross.request.Customer
import redwingcross.request.Finding
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import kotlin.time.Duration.Companion.seconds

/**
 * Reads a bundle from YAML or JSON and resolves the names of all schemes to canonical names. Collects as many findings
 * as possible: a syntax error is reported alone with line and column, all malformed fields and unresolved names
 * together with their path and line, and inconsistencies only if there are none of those.
 */
fun readBundle(text: String): Checked<Bundle> {
    val collector = FindingCollector()
    val root = try {
        DocumentNode(Yaml.default.parseToYamlNode(text), "", 1, collector)
    } catch (failure: YamlException) {
        return Checked.Invalid(listOf(Finding("line ${failure.line}, column ${failure.column}", failure.message)))
    }
    val bundle = BundleDocument(root).read()
    val findings = collector.findings.ifEmpty { checkBundle(bundle) }
    return if (findings.isEmpty()) Checked.Valid(bundle) else Checked.Invalid(findings)
}

/** Reads the sections of a bundle document: first those that declare names, then those that refer to them. */
private class BundleDocument(private val root: DocumentNode) {
    private val schemes = root.items("schemes", required = true).mapNotNull { it.scalar() }
    private val names = mutableListOf<SchemeName>()

    fun read(): Bundle {
        val zoneNames = readDeclarations("availabilityZones", NameKind.ZONE)
        val vmNames = readDeclarations("vms", NameKind.VM)
        val modelNames = readDeclarations("models", NameKind.SERVICE)
        val serviceNames = readDeclarations("services", NameKind.SERVICE)
        val customerNames = readDeclarations("customers", NameKind.CUSTOMER)
        val resolver = NameResolver(NameIndex.ofSchemes(names))
        val bundle = Bundle(
            name = root.text("name"),
            region = root.text("region"),
            zones = zoneNames.map { (_, name) -> AvailabilityZone(name) },
            vms = vmNames.map { (node, name) -> readVm(node, name, resolver) },
            gateways = root.items("gateways", required = true).map { readGateway(it, resolver) },
            models = modelNames.map { (node, name) -> readModel(node, name, resolver) },
            services = serviceNames.map { (node, name) -> readService(node, name, resolver) },
            customers = customerNames.map { (node, name) -> readCustomer(node, name) },
            aliases = resolver.index.aliases(),
        )
        (zoneNames + vmNames + modelNames + serviceNames + customerNames).forEach { (node, _) ->
            node.reportUnknownFields()
        }
        root.reportUnknownFields()
        return bundle
    }

    private fun readDeclarations(section: String, kind: NameKind): List<Pair<DocumentNode, String>> =
        root.items(section).map { node -> node to registerNames(node, kind) }

    /**
     * Registers all names of [node] and returns the canonical one, which is the name in the first scheme that has one.
     */
    private fun registerNames(node: DocumentNode, kind: NameKind): String {
        if (!node.has("names")) {
            val name = node.text("name")
            names += SchemeName(schemes.firstOrNull().orEmpty(), name, name, kind)
            return name
        }
        val declaredNames = node.entries("names").mapValues { (_, value) -> value.scalar().orEmpty() }
        declaredNames.keys.filter { it !in schemes }.forEach {
            node.field("names").report("\"$it\" is not one of the schemes ${schemes.joinToString()}")
        }
        val canonical = schemes.firstNotNullOfOrNull { declaredNames[it]?.takeIf(String::isNotBlank) }
        if (canonical == null) {
            node.field("names").report("must give a name in at least one scheme")
            return ""
        }
        names += declaredNames.filterKeys { it in schemes }
            .map { (scheme, name) -> SchemeName(scheme, name, canonical, kind) }
        return canonical
    }

    private fun readVm(node: DocumentNode, name: String, resolver: NameResolver) = VmEntry(
        vm = Vm(name),
        zone = resolver.zone(node, "zone"),
        fabricDomain = FabricDomain(node.text("fabricDomain")),
        engine = node.endpoint("engine"),
        accelerators = node.int("accelerators", 1..MAXIMUM_ACCELERATORS),
        checksFencing = node.boolean("checksFencing", true),
    )

    private fun readGateway(node: DocumentNode, resolver: NameResolver): GatewayEntry {
        val entry = GatewayEntry(
            gateway = ProcessName(node.text("name")),
            zone = resolver.zone(node, "zone"),
            caller = node.endpoint("caller"),
            peer = node.endpoint("peer"),
        )
        node.reportUnknownFields()
        return entry
    }

    private fun readModel(node: DocumentNode, name: String, resolver: NameResolver) = ModelEntry(
        model = ServiceName(name),
        modelVersion = node.text("version"),
        vmsPerGroup = node.int("vmsPerGroup", 1..MAXIMUM_VMS_PER_GROUP),
        groupsByZone = node.entries("groups").entries.associate { (zone, count) ->
            resolver.zone(count, zone) to count.intValue(0..MAXIMUM_GROUPS)
        },
        fabricDomains = node.items("fabricDomains").mapNotNull { it.scalar() }.map(::FabricDomain),
        coldLimit = node.int("coldLimit", 1..MAXIMUM_CONCURRENCY),
        warmLimit = node.int("warmLimit", 1..MAXIMUM_CONCURRENCY),
        rampStep = node.duration("rampStep", 5.seconds),
    )

    private fun readService(node: DocumentNode, name: String, resolver: NameResolver) = ServiceEntry(
        service = ServiceName(name),
        instances = node.items("instances", required = true).map { readInstance(it, resolver) },
        nonIdempotent = node.items("nonIdempotent").map { readCallPattern(it) },
        concurrentLimit = node.int("concurrentLimit", 1..MAXIMUM_CONCURRENCY, default = 16),
        timeout = node.duration("timeout", 10.seconds),
    )

    private fun readInstance(node: DocumentNode, resolver: NameResolver): ServiceInstance {
        val instance = ServiceInstance(
            server = BackendServer(node.text("server")),
            zone = resolver.zone(node, "zone"),
            endpoint = node.endpoint("endpoint"),
        )
        node.reportUnknownFields()
        return instance
    }

    private fun readCallPattern(node: DocumentNode): CallPattern {
        val pattern = CallPattern(node.text("method").uppercase(), node.text("path"))
        if (!pattern.pathPrefix.startsWith("/")) node.field("path").report("must start with /")
        node.reportUnknownFields()
        return pattern
    }

    private fun readCustomer(node: DocumentNode, name: String) = CustomerEntry(
        customer = Customer(name),
        weight = node.int("weight", 1..MAXIMUM_WEIGHT, default = 1),
        priority = node.int("priority", 0..MAXIMUM_PRIORITY, default = 0),
        queueLimit = node.int("queueLimit", 1..MAXIMUM_QUEUE, default = 64),
    )

    private companion object {
        const val MAXIMUM_ACCELERATORS = 64
        const val MAXIMUM_VMS_PER_GROUP = 64
        const val MAXIMUM_GROUPS = 1_000
        const val MAXIMUM_CONCURRENCY = 100_000
        const val MAXIMUM_WEIGHT = 1_000
        const val MAXIMUM_PRIORITY = 100
        const val MAXIMUM_QUEUE = 10_000
    }
}

/** Resolves references to canonical names and reports unknown and ambiguous ones. */
private class NameResolver(val index: NameIndex) {
    fun zone(node: DocumentNode, field: String): AvailabilityZone {
        val reference = node.optionalText(field)
        val owner = if (reference == null) node else node.field(field)
        return AvailabilityZone(resolve(owner, reference ?: field, NameKind.ZONE))
    }

    private fun resolve(node: DocumentNode, name: String, kind: NameKind): String =
        when (val lookup = index.lookup(kind, name)) {
            is NameLookup.Found -> lookup.canonical
            NameLookup.Unknown -> "".also { node.report("\"$name\" is not a known ${kind.label}") }
            is NameLookup.Ambiguous -> "".also {
                val meanings = lookup.meanings.joinToString()
                node.report("\"$name\" means $meanings in different schemes; write scheme:name")
            }
        }
}

private val NameKind.label: String
    get() = when (this) {
        NameKind.ZONE -> "availability zone"
        NameKind.VM -> "VM"
        NameKind.SERVICE -> "service"
        NameKind.CUSTOMER -> "customer"
    }

private fun DocumentNode.endpoint(field: String): Endpoint {
    val text = text(field)
    if (text.isNotEmpty() && !isEndpoint(text)) {
        field(field).report("must be an IP address and port such as 10.0.0.1:8080, not \"$text\"")
    }
    return Endpoint(text)
}
