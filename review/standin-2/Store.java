import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it: objects by kind and name, watches, conditional writes. */
final class Store {
    private static final class Stored {
        long revision;
        long created;
        Object spec;
    }

    private static final class Change {
        long revision;
        String kind;
        Object json;
        boolean removed;
    }

    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;
    final Http.Server server;

    Store(String ip) throws Exception {
        server = new Http.Server(ip, 0, 0, this::serve);
    }

    synchronized void put(String kind, String name, Object spec) {
        TreeMap<String, Stored> objects = kinds.computeIfAbsent(kind, ignored -> new TreeMap<>());
        Stored stored = objects.computeIfAbsent(name, ignored -> new Stored());
        if (stored.spec != null && stored.spec.equals(spec)) return;
        stored.revision = ++revision;
        if (stored.created == 0) stored.created = revision;
        stored.spec = spec;
        changed(kind, json(name, stored), false);
    }

    synchronized void remove(String kind, String name) {
        TreeMap<String, Stored> objects = kinds.get(kind);
        Stored old = objects == null ? null : objects.remove(name);
        if (old == null) return;
        old.revision = ++revision;
        changed(kind, json(name, old), true);
    }

    private void changed(String kind, Object json, boolean removed) {
        Change change = new Change();
        change.revision = revision;
        change.kind = kind;
        change.json = json;
        change.removed = removed;
        history.add(change);
        notifyAll();
    }

    private static Map<String, Object> json(String name, Stored stored) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", stored.revision);
        metadata.put("created", stored.created);
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", stored.spec);
        object.put("status", null);
        return object;
    }

    private void serve(Socket socket, InputStream input) throws Exception {
        OutputStream output = socket.getOutputStream();
        while (true) {
            Http.Head head = Http.head(input);
            byte[] body = Http.body(head, input);
            Object[] answer = handle(head, new String(body, StandardCharsets.UTF_8));
            String text = answer[1] == null ? "" : Json.write(answer[1]);
            Map<String, String> headers = Map.of("Content-Type", "application/json");
            output.write(Http.response((Integer) answer[0], headers, text.getBytes(StandardCharsets.UTF_8)));
            output.flush();
        }
    }

    private synchronized Object[] handle(Http.Head head, String body) throws InterruptedException {
        String[] parts = head.target().split("\\?", 2);
        String[] path = parts[0].substring("/redwingcross/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) query.put(pair.split("=")[0], pair.split("=")[1]);
        }
        TreeMap<String, Stored> objects = kinds.computeIfAbsent(path[0], ignored -> new TreeMap<>());
        if (head.method().equals("GET")) {
            if (path.length > 1) {
                Stored found = objects.get(path[1]);
                return found == null ? new Object[] {404, null} : new Object[] {200, json(path[1], found)};
            }
            return query.containsKey("watch") ? watch(path[0], query) : list(objects);
        }
        return write(head, path, objects, Json.object(Json.parse(body)));
    }

    private Object[] list(TreeMap<String, Stored> objects) {
        List<Object> items = new ArrayList<>();
        objects.forEach((name, stored) -> items.add(json(name, stored)));
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", items);
        page.put("has-more", false);
        page.put("current-rev", revision);
        return new Object[] {200, page};
    }

    private Object[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (!change.kind.equals(kind) || change.revision <= from) continue;
                Map<String, Object> event = new LinkedHashMap<>();
                event.put("removed", change.removed);
                event.put("object", change.json);
                events.add(event);
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                Map<String, Object> page = new LinkedHashMap<>();
                page.put("events", events);
                page.put("current-rev", revision);
                return new Object[] {200, page};
            }
            wait(left);
        }
    }

    private Object[] write(Http.Head head, String[] path, TreeMap<String, Stored> objects, Map<String, Object> body) {
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        String name = (String) metadata.get("name");
        Stored current = objects.get(name);
        Object expected = metadata.get("revision");
        if (head.method().equals("POST") && current != null) return new Object[] {409, json(name, current)};
        if (head.method().equals("PUT") && current == null) return new Object[] {404, null};
        if (expected != null && current != null && (Long) expected != current.revision) {
            return new Object[] {409, json(name, current)};
        }
        put(path[0], name, body.get("spec"));
        return new Object[] {200, json(name, objects.get(name))};
    }
}
