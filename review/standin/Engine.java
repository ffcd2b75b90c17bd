package review;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Stand-in for an engine of a plain service. It runs each request at once and answers with its own signature. */
final class Engine {
    /** One request that the engine ran. */
    static final class Run {
        final double at;
        final String attempt;
        final String target;

        Run(double at, String attempt, String target) {
            this.at = at;
            this.attempt = attempt;
            this.target = target;
        }
    }

    final String id;
    final String address;
    final String service;
    final String zone;
    private final Record record;
    private final ServerSocket server;
    private final List<Run> runs = new ArrayList<>();

    /** Body of the answer to a request. */
    volatile Function<Http.Message, byte[]> body = request -> "{\"done\":true}".getBytes();

    /** Time that the engine works on each request. */
    volatile int workMs = 10;

    Engine(Record record, String ip, String id, String service, String zone) throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        server = Http.listen(ip, 0, (socket, request, out) -> serve(request, out));
        address = ip + ":" + server.getLocalPort();
    }

    /** The engine's entry in the store. */
    Object entry(String state) {
        return Json.of("service", service, "addr", address, "zone", zone, "version", "v1", "slots", 12, "state", state,
            "cold-remaining-ms", 0, "seq", 1, "born", 1_700_000_000_000L);
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    /** Ends the engine: it listens no longer. */
    void end() throws IOException {
        server.close();
    }

    private boolean serve(Http.Message request, java.io.OutputStream out) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (request.target().equals("/health")) {
            Http.respond(out, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        String attempt = request.header("Attempt-Id");
        if (attempt == null) {
            Http.respond(out, 400, "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        Run run = new Run(record.now(), attempt, request.target());
        synchronized (this) {
            runs.add(run);
        }
        Thread.sleep(workMs);
        byte[] answer = body.apply(request);
        Http.respond(out, 200, "Attempt-Id: " + attempt + "\r\nServer-Stamp: " + id + ".1\r\nKeep-Alive: timeout=5\r\n",
            answer);
        return true;
    }
}
