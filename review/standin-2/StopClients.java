import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streaming clients of a single process that is stopped as planned. They look its address up before they connect; if
 * they obtain no list, they keep the address that they have, as the pages allow.
 */
final class StopClients {
    private static final double GRACE_SECONDS = 8.0;
    private final Case owner;
    private final List<ModelEngine> engines;

    /** When the process last got SIGTERM; null if it has not. */
    volatile Long terminatedAt;

    /** Whether the case has ended, so that nothing is judged or recorded any more. */
    volatile boolean isOver;

    /** Connections that ended without a complete answer although the rule allows none of the excuses. */
    final AtomicInteger broken = new AtomicInteger();

    StopClients(Case owner, List<ModelEngine> engines) {
        this.owner = owner;
        this.engines = engines;
    }

    static Map<String, Object> route() {
        Map<String, Object> route = Case.route("chat", "streaming", "pool", 8000, 2);
        route.put("resumable", true);
        route.put("target-gap-ms", 300L);
        route.put("sticky", true);
        return route;
    }

    /** Sends one request for [events] events on a new connection. */
    void send(int events) {
        if (!owner.edge.resolves()) owner.say("client: no list of addresses; the known one is kept");
        try (Socket socket = owner.edge.connect()) {
            socket.setSoTimeout(10_000);
            send(events, socket, new BufferedInputStream(socket.getInputStream()));
        } catch (IOException refused) {
            owner.say("client: could not connect");
        }
    }

    /** Sends one request on a connection; returns whether the connection can be used again. */
    boolean send(int events, Socket socket, InputStream input) {
        String attempt = owner.newAttempt();
        Map<String, String> headers = owner.headers(attempt, 8000);
        headers.put("Model", "m0");
        headers.put("Token-Counts", "100," + events * ModelEngine.TOKENS_PER_EVENT);
        headers.put("Prompt-Prefix", "5c1e07a2:60," + attempt + ":40");
        long sentAt = System.nanoTime();
        try {
            socket.getOutputStream().write(Http.request("POST /chat/1 HTTP/1.1", headers, Case.ascii("{}")));
            Http.Head head = Http.head(input);
            int length = Http.body(head, input).length;
            owner.say("client: " + attempt + " for " + events + " events got " + head.status() + ", " + length
                + " bytes, complete");
            return !"close".equalsIgnoreCase(head.headers.get("Connection"));
        } catch (IOException error) {
            judge(attempt, events, sentAt, error);
            return false;
        }
    }

    private void judge(String attempt, int events, long sentAt, IOException error) {
        if (isOver) return;
        long now = System.nanoTime();
        Long terminated = terminatedAt;
        boolean hasRun = engines.stream().anyMatch(engine -> engine.runs.containsKey(attempt));
        String text = "client: " + attempt + " for " + events + " events ended without a complete answer " + seconds(now - sentAt)
            + " s after it was sent (" + error.getMessage() + "), passed on to an engine: " + hasRun;
        if (terminated == null || !hasRun) {
            owner.say(text + "; not judged");
            return;
        }
        double sent = seconds(sentAt - terminated);
        double ended = seconds(now - terminated);
        boolean isExcused = sent <= 3 && ended >= GRACE_SECONDS * 5 / 6 || ended > GRACE_SECONDS + 1;
        owner.say(text + "; sent " + sent + " s and ended " + ended + " s after the SIGTERM; "
            + (isExcused ? "excused" : "LOST"));
        if (!isExcused) broken.incrementAndGet();
    }

    private static double seconds(long nanos) {
        return Math.round(nanos / 1e6) / 1e3;
    }
}
