package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment: one store, edge processes and engines of a plain service. */
final class Deployment {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String HOST = "ficu95.example";
    static final String SERVICE = "dispatch-app";

    final Record record;
    final Store store = new Store();
    final Path folder;
    final List<Edge> edges = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();

    /** Names of the services of the configuration. */
    final List<String> services = new ArrayList<>(List.of(SERVICE));

    Deployment(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("redwingcross-review");
    }

    /** Route of the service; prefixes begin and end with a slash. */
    static Map<String, Object> route(String name, String prefix, String kind, int timeoutMs) {
        return Json.of("name", name, "host", HOST, "path-prefix", prefix, "kind", kind, "timeout-ms", timeoutMs,
            "target-latency-ms", 193, "priority", 2, "service", SERVICE, "max-attempts",
            kind.equals("idempotent") ? 2 : 1, "anonymous-access", false, "sticky", false, "resumable", false);
    }

    void configure(int version, List<Map<String, Object>> routes) {
        List<Object> specs = new ArrayList<>();
        for (String service : services) {
            specs.add(Json.of("name", service, "health-path", "/health", "max-conns", 110, "protocol", "h1", "tls", false,
                "cold-s", 0.0, "cold-per-s", 0.0));
        }
        store.put("config", "main", Json.of(
            "version", version,
            "routes", routes,
            "services", specs,
            "limits", Json.of("max-header-bytes", 16384, "max-body-bytes", 4194304, "header-timeout-ms", 3000,
                "idle-timeout-ms", 15000),
            "tenants", List.of(Json.of("name", "hule930", "api-keys", List.of(KEY), "priority", 1))));
        record.add("config", "version=" + version);
    }

    Engine addEngine(int number, String zone) throws IOException {
        Engine engine = new Engine(record, "127.0.50." + (number + 10), "i-" + String.format("%08x", 0xa0000 + number),
            SERVICE, zone);
        engines.add(engine);
        store.put("servers", engine.id, engine.entry("ready"));
        return engine;
    }

    Edge addEdge(String zone) throws IOException {
        int number = edges.size() + 1;
        Edge edge = new Edge(folder, number, zone, store.openFor("edge-" + zone + "-" + number));
        edges.add(edge);
        return edge;
    }

    /** Starts all edges and waits until each is ready. */
    void start() throws Exception {
        for (Edge edge : edges) edge.start();
        for (Edge edge : edges) edge.awaitReady();
        record.add("ready", edges.size(), "edges");
    }

    /** Head of a client's request without its Content-Length. */
    static String head(String method, String path, String attempt, int deadlineMs) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: "
            + deadlineMs + "\r\nAuthorization: Token " + KEY + "\r\n";
    }

    /** Ends all processes of the play and exits. */
    void end(int status) throws Exception {
        record.end("result", status == 1 ? "broken" : status == 0 ? "held" : "could not run");
        for (Edge edge : edges) edge.kill();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) Files.delete(file);
            }
            Files.delete(folder);
        } else {
            System.err.println("logs in " + folder);
        }
        Runtime.getRuntime().halt(status);
    }
}
