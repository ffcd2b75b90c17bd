package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

/** A machine is killed while it passes on streams; the clients resume them at another machine. */
final class ResumedStream implements Play.Scenario {
    private static final int CLIENTS = 4;
    private static final int EVENTS = 35;
    private static final int EVENT_MS = 60;

    @Override
    public boolean play(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        Map<String, Object> route = Deployment.route("r-updates", "/pufi791/", "streaming", 8000);
        route.put("max-attempts", 2);
        route.put("resumable", true);
        route.put("target-gap-ms", 200);
        deployment.configure(7, List.of(route));
        for (int number = 0; number < 3; number++) addStreamingEngine(deployment, record, number);
        for (String zone : List.of("ub-a", "ub-b", "ub-c")) deployment.addEdge(zone);
        deployment.start();
        Thread.sleep(3000);
        Edge killed = deployment.edges.get(0);
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            Client client = new Client(record, deployment.edges);
            clients.add(client);
            threads.add(Http.start(client::run));
        }
        Thread.sleep(EVENT_MS * 12);
        if (trouble) {
            record.add("SIGKILL", killed.name);
            killed.kill();
        }
        int broken = 0;
        for (int number = 0; number < CLIENTS; number++) {
            threads.get(number).join(15_000);
            if (!clients.get(number).isInOrder()) broken++;
        }
        record.add("streams_with_an_event_twice_or_missing", broken, "of", CLIENTS);
        return broken == 0;
    }

    private static void addStreamingEngine(Deployment deployment, Record record, int number) throws IOException {
        String id = String.format("i-%08x", 0xb0000 + number);
        String ip = "127.0.50." + (number + 10);
        ServerSocket server = Http.listen(ip, 0, (socket, request, out) -> {
            if (!id.equals(request.header("Expect-Instance"))) {
                Http.respond(out, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            String last = request.header("Last-Event-Id");
            record.add("run", id, request.header("Attempt-Id"), "Last-Event-Id:", last);
            stream(out, id, request.header("Attempt-Id"), last == null ? 0 : Integer.parseInt(last));
            return true;
        });
        deployment.store.put("servers", id,
            Json.of("service", Deployment.SERVICE, "addr", ip + ":" + server.getLocalPort(), "zone", "ub-a", "version",
                "v1", "slots", 12, "state", "ready", "cold-remaining-ms", 0, "seq", 1, "born", 1_700_000_000_000L));
    }

    private static void stream(OutputStream out, String id, String attempt, int last) throws Exception {
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: " + id + ".1\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes("UTF-8"));
        for (int event = last + 1; event <= EVENTS; event++) {
            byte[] bytes = ("id: " + event + "\ndata: piece " + event + "\n\n").getBytes("UTF-8");
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes("UTF-8"));
            out.write(bytes);
            out.write("\r\n".getBytes("UTF-8"));
            out.flush();
            Thread.sleep(EVENT_MS);
        }
        out.write("0\r\n\r\n".getBytes("UTF-8"));
        out.flush();
    }

    /** A client of one stream: when the connection breaks, it resumes once, after the last event that it has. */
    private static final class Client {
        private final Record record;
        private final List<Edge> edges;
        private final List<Integer> events = new ArrayList<>();
        private boolean isComplete;

        Client(Record record, List<Edge> edges) {
            this.record = record;
            this.edges = edges;
        }

        void run() throws InterruptedException {
            for (Edge edge : edges) {
                String attempt = Load.nextAttempt();
                try {
                    read(edge, attempt);
                    isComplete = true;
                    record.add("stream_ends", attempt, events.size(), "events");
                    return;
                } catch (IOException broken) {
                    record.add("stream_breaks", attempt, "after", events.size(), "events:", broken);
                }
                Thread.sleep(100);
            }
        }

        private void read(Edge edge, String attempt) throws IOException {
            try (Socket socket = Http.connect(edge.front, 1000)) {
                socket.setSoTimeout(3000);
                int last = events.isEmpty() ? 0 : events.get(events.size() - 1);
                String resumed = last == 0 ? "" : "Last-Event-Id: " + last + "\r\n";
                socket.getOutputStream().write((Deployment.head("GET", "/pufi791/2f", attempt, 8000) + resumed
                    + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                record.add("sent", edge.name, attempt, resumed.trim());
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Message head = Http.readHead(in);
                if (head == null) throw new IOException("no answer");
                if (head.status() != 200) throw new IOException("status " + head.status());
                StringBuilder text = new StringBuilder();
                while (true) {
                    Http.Message chunk = new Http.Message();
                    int size = chunkSize(in);
                    byte[] bytes = in.readNBytes(size + 2);
                    if (bytes.length < size + 2) throw new IOException("cut off");
                    if (size == 0) return;
                    text.append(new String(bytes, 0, size, StandardCharsets.UTF_8));
                    for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                        int id = Integer.parseInt(text.substring(4, text.indexOf("\n")).trim());
                        record.add("event", attempt, id);
                        events.add(id);
                        text.delete(0, end + 2);
                    }
                }
            }
        }

        private static int chunkSize(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) throw new IOException("cut off");
                line.append((char) c);
            }
            return Integer.parseInt(line.toString().trim(), 16);
        }

        /** Whether no event is missing before the last one and none came twice. */
        boolean isInOrder() {
            for (int index = 0; index < events.size(); index++) {
                if (events.get(index) != index + 1) return false;
            }
            return new HashSet<>(events).size() == events.size() && (!isComplete || events.size() == EVENTS);
        }
    }
}
