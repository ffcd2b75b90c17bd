package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Stand-in for the platform's store. Each machine calls it at a port of its own, so that it can be turned away. */
final class Store {
    private static final String PATH = "/redwingcross/objects/";
    private static final int ANSWER_MS = 4;

    /** Most objects in one answer. */
    int page = 500;

    /** Called after a page of a list was sent that is not the last one, with the kind and the page's last name. */
    java.util.function.BiConsumer<String, String> onPage = (kind, last) -> { };

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<Socket, String> waiting = new HashMap<>();
    private long revision = 100;

    private static final class Event {
        final String kind;
        final long revision;
        final Map<String, Object> object;
        final boolean removed;

        Event(String kind, long revision, Map<String, Object> object, boolean removed) {
            this.kind = kind;
            this.revision = revision;
            this.object = object;
            this.removed = removed;
        }
    }

    /** Opens a port for one machine and returns its address. */
    String openFor(String machine) throws IOException {
        ServerSocket server = Http.listen("127.0.0.1", 0, (socket, request, out) -> serve(machine, socket, request, out));
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Answers all calls of a machine with 503 from now on, or serves them again. */
    synchronized void refuse(String machine, boolean refuse) {
        if (refuse) refused.add(machine); else refused.remove(machine);
        notifyAll();
    }

    /** Cuts all watches that are waiting. */
    synchronized void cutWatches() {
        for (Socket socket : waiting.keySet()) {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed in any case.
            }
        }
        waiting.clear();
    }

    /** Machines that have a watch of the kind waiting. */
    synchronized Set<String> watchers(String kind) {
        Set<String> machines = new HashSet<>();
        for (String watch : waiting.values()) {
            if (watch.endsWith(" " + kind)) machines.add(watch.split(" ")[0]);
        }
        return machines;
    }

    /** Writes an object; a write that changes nothing makes no event. Returns the store's revision. */
    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> old = objects(kind).get(name);
        if (old != null && Json.write(old.get("spec")).equals(Json.write(spec))) return revision;
        Object created = old == null ? (Object) (revision + 1) : Json.object(old.get("metadata")).get("created");
        revision++;
        Map<String, Object> object = Json.of(
            "metadata",
            Json.of("name", name, "revision", revision, "created", created, "finalizers", new ArrayList<>(),
                "deleting", false),
            "spec", spec, "status", null);
        objects(kind).put(name, object);
        history.add(new Event(kind, revision, object, false));
        notifyAll();
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> object = objects(kind).remove(name);
        if (object == null) return;
        revision++;
        history.add(new Event(kind, revision, object, true));
        notifyAll();
    }

    synchronized Map<String, Object> get(String kind, String name) {
        return objects(kind).get(name);
    }

    private TreeMap<String, Map<String, Object>> objects(String kind) {
        return kinds.computeIfAbsent(kind, it -> new TreeMap<>());
    }

    private boolean serve(String machine, Socket socket, Http.Message request, OutputStream out) throws Exception {
        Thread.sleep(ANSWER_MS);
        if (isRefused(machine)) return answer(out, 503, null);
        String[] target = request.target().split("\\?", 2);
        if (!target[0].startsWith(PATH)) return answer(out, 404, null);
        String[] path = target[0].substring(PATH.length()).split("/");
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) query.put(pair.split("=")[0], pair.split("=", 2)[1]);
        }
        switch (request.method()) {
            case "GET":
                if (query.containsKey("watch")) return watch(machine, socket, path[0], query, out);
                return path.length > 1 ? read(path[0], path[1], out) : list(path[0], query.get("since-rev"), out);
            case "POST":
                return write(path[0], null, request, out);
            case "PUT":
                return write(path[0], path[1], request, out);
            default:
                return answer(out, 405, null);
        }
    }

    private synchronized boolean isRefused(String machine) {
        return refused.contains(machine);
    }

    private boolean read(String kind, String name, OutputStream out) throws IOException {
        Map<String, Object> object = get(kind, name);
        return answer(out, object == null ? 404 : 200, object);
    }

    private boolean list(String kind, String after, OutputStream out) throws IOException {
        List<Object> items = new ArrayList<>();
        boolean more;
        long current;
        String last = after;
        synchronized (this) {
            TreeMap<String, Map<String, Object>> all = objects(kind);
            for (Map.Entry<String, Map<String, Object>> entry
                : (after == null ? all : all.tailMap(after, false)).entrySet()) {
                if (items.size() == page) break;
                items.add(entry.getValue());
                last = entry.getKey();
            }
            more = !items.isEmpty() && all.higherKey(last) != null;
            current = revision;
        }
        answer(out, 200, Json.of("items", items, "has-more", more, "current-rev", current));
        if (more) onPage.accept(kind, last);
        return true;
    }

    private boolean watch(String machine, Socket socket, String kind, Map<String, String> query, OutputStream out)
        throws Exception {
        long from = Long.parseLong(query.get("watch"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000L;
        List<Object> events = new ArrayList<>();
        long current;
        synchronized (this) {
            waiting.put(socket, machine + " " + kind);
            while (true) {
                for (Event event : history) {
                    if (event.revision > from && event.kind.equals(kind)) {
                        events.add(Json.of("removed", event.removed, "object", event.object));
                    }
                }
                long left = (until - System.nanoTime()) / 1_000_000L;
                if (!events.isEmpty() || left <= 0 || refused.contains(machine) || !waiting.containsKey(socket)) break;
                wait(left);
            }
            if (waiting.remove(socket) == null) return false;
            current = revision;
        }
        if (isRefused(machine)) return answer(out, 503, null);
        return answer(out, 200, Json.of("events", events, "current-rev", current));
    }

    private boolean write(String kind, String pathName, Http.Message request, OutputStream out) throws IOException {
        Map<String, Object> body = Json.object(Json.read(new String(request.body, "UTF-8")));
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        String name = pathName == null ? (String) metadata.get("name") : pathName;
        Map<String, Object> answer;
        int status;
        synchronized (this) {
            Map<String, Object> old = objects(kind).get(name);
            Object expected = metadata.get("revision");
            if (pathName == null && old != null) {
                status = 409;
                answer = old;
            } else if (pathName != null && old == null) {
                status = 404;
                answer = null;
            } else if (expected != null && !expected.equals(Json.object(old.get("metadata")).get("revision"))) {
                status = 409;
                answer = old;
            } else {
                put(kind, name, body.get("spec"));
                status = pathName == null ? 201 : 200;
                answer = objects(kind).get(name);
            }
        }
        return answer(out, status, answer);
    }

    private static boolean answer(OutputStream out, int status, Object body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : Json.write(body).getBytes("UTF-8");
        Http.respond(out, status, "Content-Type: application/json\r\n", bytes);
        return true;
    }
}
