import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** What the cases have in common: the record, the configuration, the deployment, and requests of a client. */
class Case implements AutoCloseable {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String TENANT = "hule930";
    static final String HOST = "ficu95.example";

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final String ip = Edge.freshIp();
    final Path folder;
    final Store store;
    final Edge edge;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final AtomicLong attempts = new AtomicLong(System.nanoTime() & 0xffffffL);

    Case(String number) throws Exception {
        folder = Files.createTempDirectory("redwingcross-case");
        record = new PrintWriter(Files.newBufferedWriter(Path.of("review", number, "record.txt")), true);
        store = new Store(ip);
        edge = new Edge(folder, "edge-a-1", ip, store.server.address());
        say("trouble=" + hasTrouble);
    }

    /** Adds a line to the record, with the time since the start of the case. */
    final void say(String line) {
        String text = String.format("%8.3f %s", (System.nanoTime() - startedAt) / 1e9, line);
        synchronized (record) {
            record.println(text);
        }
    }

    /** Registers an engine of a plain service, or of a pool if [further] says more. */
    final Map<String, Object> entry(String service, String address, Map<String, Object> further) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("addr", address);
        entry.put("zone", "zone-a");
        entry.put("version", "v1");
        entry.put("slots", 6L);
        entry.put("state", "ready");
        entry.put("cold-remaining-ms", 0L);
        entry.put("seq", 1L);
        entry.put("born", System.currentTimeMillis());
        entry.putAll(further);
        return entry;
    }

    static Map<String, Object> route(String name, String kind, String service, long timeoutMillis, long attempts) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("path-prefix", "/" + name + "/");
        route.put("kind", kind);
        route.put("timeout-ms", timeoutMillis);
        route.put("target-latency-ms", 400L);
        route.put("priority", 1L);
        route.put("service", service);
        route.put("max-attempts", attempts);
        route.put("anonymous-access", false);
        return route;
    }

    static Map<String, Object> service(String name) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", name);
        service.put("health-path", "/health");
        service.put("max-conns", 1000L);
        service.put("protocol", "h1");
        service.put("tls", false);
        service.put("cold-s", 0.0);
        service.put("cold-per-s", 0.0);
        return service;
    }

    final void configure(long version, List<Object> routes, List<Object> services) {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max-header-bytes", 16384L);
        limits.put("max-body-bytes", 4194304L);
        limits.put("header-timeout-ms", 3000L);
        limits.put("idle-timeout-ms", 15000L);
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", TENANT);
        tenant.put("api-keys", List.of(KEY));
        tenant.put("priority", 1L);
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", version);
        configuration.put("routes", routes);
        configuration.put("services", services);
        configuration.put("limits", limits);
        configuration.put("tenants", List.of(tenant));
        store.put("config", "main", configuration);
    }

    final String newAttempt() {
        return String.format("%016x", attempts.incrementAndGet());
    }

    final Map<String, String> headers(String attempt, long deadlineMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Attempt-Id", attempt);
        headers.put("Deadline-Ms", String.valueOf(deadlineMillis));
        headers.put("Authorization", "Token " + KEY);
        return headers;
    }

    /** Starts the process and waits until a request on [path] is answered 200. */
    final void startAndAwait(String first) throws Exception {
        edge.start();
        long until = System.nanoTime() + 40_000_000_000L;
        while (System.nanoTime() < until) {
            try (java.net.Socket socket = edge.connect()) {
                socket.setSoTimeout(3000);
                socket.getOutputStream().write(Http.request(first, headers(newAttempt(), 2000), new byte[0]));
                if (Http.head(socket.getInputStream()).status() == 200) {
                    say("the process serves at " + edge.ip + ":" + edge.front);
                    return;
                }
            } catch (IOException notYet) {
                // The process is still starting.
            }
            Thread.sleep(100);
        }
        throw new IOException("the process did not serve within 40 s: " + edge.log());
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Runs a case; exits with 2 if it could not run. */
    static void run(Check check) {
        int status = 2;
        try {
            status = check.run();
        } catch (Throwable error) {
            error.printStackTrace();
        }
        Runtime.getRuntime().halt(status);
    }

    interface Check {
        /** Returns 1 if the rule was broken, 0 if it held. */
        int run() throws Exception;
    }

    @Override
    public void close() throws Exception {
        edge.close();
        record.close();
        try (java.util.stream.Stream<Path> files = Files.list(folder)) {
            for (Path file : (Iterable<Path>) files::iterator) Files.delete(file);
        }
        Files.delete(folder);
    }
}
