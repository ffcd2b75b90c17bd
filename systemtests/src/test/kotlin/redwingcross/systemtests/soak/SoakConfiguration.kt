package redwingcross.systemtests.soak

import redwingcross.systemtests.platform.EngineStandin

/** What the operator of a deployment configures and changes during a run. */
internal data class SoakConfiguration(
    /** Service that runs the requests of the route `status`. */
    val statusService: String = "app-a",
    /** Idle time of callers' connections. */
    val idleMillis: Long = 15_000,
    /** Largest body of a request. */
    val bodyBytes: Long = LARGEST_BODY_BYTES,
    /** Time limit of all routes. */
    val timeoutMillis: Long = 3000,
    /** Number of routes beside those that callers use all the time. */
    val furtherRoutes: Int = 0,
    /** Whether [FURTHER_KEY] is a key of the tenant. */
    val hasFurtherKey: Boolean = false,
) {
    fun toJson(version: Long): String {
        val further = List(furtherRoutes) { route("extra-$it", "idempotent", "app-a", 2) }
        val routes = listOf(
            route("book", "non_idempotent", "app-b", 1),
            route("status", "idempotent", statusService, 2),
            route("chat-small", "streaming", "pool", 2),
            route("chat-large", "streaming", "pool", 2),
        ) + further
        val keys = listOfNotNull(SoakCallers.KEY, FURTHER_KEY.takeIf { hasFurtherKey })
        return """
        {"version":$version,"routes":[${routes.joinToString(",")}],
        "services":[
        {"name":"app-a","health-path":"/health","max-conns":100,"cold-s":0,"cold-per-s":0},
        {"name":"app-b","health-path":"/health","max-conns":100,"cold-s":0,"cold-per-s":0},
        {"name":"pool","health-path":"/health","max-conns":200,"cold-s":0,"cold-per-s":0,"engine":{"slots":12,
        "kv-capacity":100000,"stride":1,"models":[
        {"name":"large","size":3,"share":0.5,"pace":1.0,"load-s":0.6,"warm-s":0.2},
        {"name":"small","size":2,"share":0.5,"pace":1.0,"load-s":0.6,"warm-s":0.2}],
        "step_ms":20,"per_seq_ms":0.1,"read_per_s":45900,"report_lag_ms":0,"loads-per-s":20,"loads_at_once":20,
        "usual":{"prompt":100,"answer":15},"form-ms":100}}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":$bodyBytes,"header-timeout-ms":3000,
        "idle-timeout-ms":$idleMillis},
        "tenants":[{"name":"${EngineStandin.TENANT}","api-keys":[${keys.joinToString { "\"$it\"" }}],"priority":1}]}
    """
    }

    private fun route(name: String, kind: String, service: String, maxAttempts: Int) =
        """{"name":"$name","host":"${SoakCallers.HOST}","path-prefix":"/$name/","kind":"$kind",
        "timeout-ms":$timeoutMillis,"target-latency-ms":300,"priority":1,"service":"$service",
        "max-attempts":$maxAttempts,"resumable":true}"""

    companion object {
        const val FURTHER_KEY = "k2"
        const val LARGEST_BODY_BYTES = 1_000_000L

        /** Every configuration allows bodies of this size. */
        const val ALLOWED_BODY_BYTES = 150_000L
    }
}
