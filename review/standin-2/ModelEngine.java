import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A sound model engine, as PROTOCOL.md describes it: joins groups, opens them and streams events as their head. */
class ModelEngine {
    /** Output tokens in one event of a stream. */
    static final int TOKENS_PER_EVENT = 5;
    private static final long JOIN_MILLIS = 200;
    private static final long OPEN_MILLIS = 100;

    final String id;
    final Http.Server server;
    private final Case owner;
    private final String service;
    private final long eventMillis;
    private final long born = System.currentTimeMillis();
    private long entrySequence;
    private long orders;
    private long highestEpoch;
    private Map<String, Object> group;
    private Object members;
    private String staged;
    private boolean isGone;

    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** While true, the engine sends nothing; it goes on where it was once this is false. */
    volatile boolean isSilent;

    /** Number of requests that began to run, by attempt. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    ModelEngine(Case owner, String id, String service, long eventMillis) throws Exception {
        this.owner = owner;
        this.id = id;
        this.service = service;
        this.eventMillis = eventMillis;
        server = new Http.Server(owner.ip, 0, 0, this::serve);
        publish();
    }

    private synchronized void publish() {
        if (isGone) return;
        Map<String, Object> further = state();
        further.put("slots", 12L);
        further.put("seq", ++entrySequence);
        further.put("stage", "combined");
        further.put("models", List.of());
        owner.store.put("servers", id, owner.entry(service, server.address(), further));
    }

    private Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("born", born);
        state.put("domain", "d-1");
        state.put("staged", staged == null ? List.of() : List.of(staged));
        if (group != null) state.put("group", new LinkedHashMap<>(group));
        return state;
    }

    private void serve(Socket socket, InputStream input) throws Exception {
        connections.add(socket);
        OutputStream output = socket.getOutputStream();
        while (true) {
            Http.Head head = Http.head(input);
            byte[] body = Http.body(head, input);
            awaitSound();
            String expected = head.headers.get("Expect-Instance");
            String attempt = head.headers.get("Attempt-Id");
            if (expected != null && !expected.equals(id)) {
                output.write(Http.response(421, Map.of("Instance-Id", id), new byte[0]));
            } else if (head.target().equals("/redwingcross/report")) {
                output.write(report());
            } else if (head.target().equals("/redwingcross/order")) {
                Object order = Json.parse(new String(body, StandardCharsets.UTF_8));
                output.write(Http.response(order(Json.object(order)), Map.of(), new byte[0]));
            } else if (head.target().equals("/health")) {
                output.write(Http.response(200, Map.of("Instance-Id", id), new byte[0]));
            } else if (!isOpenHead()) {
                output.write(Http.response(421, Map.of("Instance-Id", id, "Attempt-Id", attempt), new byte[0]));
            } else {
                runs.merge(attempt, 1, Integer::sum);
                stream(head, attempt, output);
            }
            output.flush();
        }
    }

    /** Streams the events that the client has not received yet. */
    void stream(Http.Head head, String attempt, OutputStream output) throws Exception {
        int last = Integer.parseInt(head.headers.get("Token-Counts").split(",")[1]) / TOKENS_PER_EVENT;
        int from = Integer.parseInt(head.headers.getOrDefault("Last-Event-Id", "0"));
        owner.say("engine " + id + ": " + attempt + " begins after event " + from + " of " + last);
        output.write(Case.ascii("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: " + id + "." + attempt
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int event = from + 1; event <= last; event++) {
            Thread.sleep(eventMillis);
            awaitSound();
            byte[] bytes = Case.ascii("id: " + event + "\ndata: " + attempt + "#" + event + "\n\n");
            output.write(Case.ascii(Integer.toHexString(bytes.length) + "\r\n"));
            output.write(bytes);
            output.write(Case.ascii("\r\n"));
            output.flush();
        }
        Thread.sleep(eventMillis);
        awaitSound();
        output.write(Case.ascii("0\r\n\r\n"));
        owner.say("engine " + id + ": " + attempt + " sent all events");
    }

    /** Ends the engine: its connections are reset, and its entry goes after some time without a sign of it. */
    final void crash(long entryMillis) throws Exception {
        server.close();
        for (Socket socket : connections) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (java.io.IOException closed) {
                // The connection had ended before.
            }
        }
        Thread.sleep(entryMillis);
        synchronized (this) {
            isGone = true;
            owner.store.remove("servers", id);
        }
    }

    private void awaitSound() throws InterruptedException {
        while (isSilent) Thread.sleep(5);
    }

    /** Name of the group that the engine is in; null if it is in none. */
    synchronized String groupName() {
        return group == null ? null : (String) group.get("name");
    }

    private synchronized byte[] report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("stage", "combined");
        report.put("models", List.of());
        report.put("busy", false);
        report.put("seq", orders);
        report.put("queued", 0L);
        report.put("active", 0L);
        report.put("kv-used", 0L);
        report.put("kv-total", 90000L);
        report.put("handles", 0L);
        report.put("pace", 1.0);
        report.putAll(state());
        return Http.response(200, Map.of("Content-Type", "application/json"),
            Json.write(report).getBytes(StandardCharsets.UTF_8));
    }

    private synchronized boolean isOpenHead() {
        return group != null && group.get("rank").equals(0L) && group.get("state").equals("open");
    }

    private synchronized int order(Map<String, Object> order) {
        Object expected = order.get("expected-rev");
        if (expected != null && (Long) expected != orders) return 409;
        Object name = order.get("group");
        boolean isMember = group != null && group.get("name").equals(name)
            && group.get("epoch").equals(order.get("epoch"));
        switch ((String) order.get("operation")) {
            case "join": return join(order);
            case "open":
                if (!isMember || !group.get("state").equals("ready") || !group.get("rank").equals(0L)) return 409;
                orders++;
                later(OPEN_MILLIS, group, "open");
                return 202;
            case "close":
                if (!isMember || !group.get("state").equals("open")) return 409;
                orders++;
                later(0, group, "ready");
                return 202;
            case "leave":
                if (!isMember) return 200;
                orders++;
                group = null;
                publish();
                return 200;
            case "stage":
                orders++;
                staged = (String) order.get("model");
                publish();
                return 202;
            default: return 400;
        }
    }

    private int join(Map<String, Object> order) {
        long epoch = (Long) order.get("epoch");
        List<?> list = (List<?>) order.get("members");
        boolean isSame = group != null && group.get("name").equals(order.get("group"))
            && group.get("epoch").equals(epoch);
        if (epoch < highestEpoch || isSame && !list.equals(members)) return 412;
        if (isSame) return 200;
        orders++;
        highestEpoch = epoch;
        members = list;
        staged = (String) order.get("model");
        group = new LinkedHashMap<>();
        group.put("name", order.get("group"));
        group.put("epoch", epoch);
        group.put("rank", (long) list.indexOf(id));
        group.put("state", "joining");
        publish();
        later(JOIN_MILLIS, group, "ready");
        return 202;
    }

    private void later(long millis, Map<String, Object> membership, String state) {
        Http.daemon(() -> {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException ended) {
                return;
            }
            synchronized (this) {
                membership.put("state", state);
                if (group == membership) publish();
            }
        });
    }

    /** The configuration of a pool of such engines with groups of [size]. */
    static Map<String, Object> pool(String name, String model, long size) {
        Map<String, Object> spec = new LinkedHashMap<>();
        spec.put("name", model);
        spec.put("size", size);
        spec.put("share", 1.0);
        spec.put("pace", 1.0);
        spec.put("load-s", 0.5);
        spec.put("warm-s", 0.2);
        Map<String, Object> engine = new LinkedHashMap<>();
        engine.put("slots", 12L);
        engine.put("kv-capacity", 90000L);
        engine.put("stride", 1L);
        engine.put("models", List.of(spec));
        engine.put("step_ms", 7.8);
        engine.put("per_seq_ms", 0.1);
        engine.put("context_per_k", 0.01);
        engine.put("read_per_s", 45900.0);
        engine.put("chunk", 2048L);
        engine.put("report_lag_ms", 0.0);
        engine.put("loads-per-s", 5.0);
        engine.put("loads_at_once", 7L);
        engine.put("usual", Map.of("prompt", 100L, "answer", 100L));
        engine.put("retained-count", 1L);
        engine.put("far_x", 3.0);
        engine.put("form-ms", (double) OPEN_MILLIS);
        Map<String, Object> service = Case.service(name);
        service.put("cold-s", 3.0);
        service.put("cold-per-s", 26.0);
        service.put("engine", engine);
        return service;
    }
}
