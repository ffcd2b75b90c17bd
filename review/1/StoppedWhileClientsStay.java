package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The one machine of a deployment gets SIGTERM while clients send bookings. */
final class StoppedWhileClientsStay implements Play.Scenario {
    private static final int CLIENTS = 40;
    private static final int SHORTEST_PAUSE_MS = 40;
    private static final int LONGEST_PAUSE_MS = 140;
    private static final int WORK_MS = 43;
    private static final int DEADLINE_MS = 1000;
    private static final int GRACE_MS = 8000;

    /** The outcome of each attempt; null as long as there is none. */
    private final Map<String, String> outcomes = new HashMap<>();
    private int lastDirectoryStatus;
    private volatile boolean isOver;

    @Override
    public boolean play(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        deployment.configure(7, List.of(Deployment.route("r-book", "/puxa403/", "non_idempotent", DEADLINE_MS)));
        for (String zone : List.of("ub-a", "ub-b", "ub-c")) deployment.addEngine(deployment.engines.size(), zone);
        for (Engine engine : deployment.engines) engine.workMs = WORK_MS;
        Edge edge = deployment.addEdge("ub-a");
        deployment.start();
        Thread.sleep(4000);
        for (int client = 0; client < CLIENTS; client++) {
            Random random = new Random(client);
            Http.start(() -> book(record, edge, random));
        }
        Thread.sleep(2000);
        if (trouble) {
            record.add("SIGTERM", edge.name);
            edge.terminate();
        }
        Thread.sleep(GRACE_MS + 1000);
        isOver = true;
        Thread.sleep(DEADLINE_MS + 500);
        Set<String> run = new HashSet<>();
        for (Engine engine : deployment.engines) {
            for (Engine.Run each : engine.runs()) run.add(each.attempt);
        }
        int lost = 0;
        synchronized (outcomes) {
            for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
                if (!"closed".equals(outcome.getValue()) || !run.contains(outcome.getKey())) continue;
                lost++;
                record.add("run_and_not_answered", outcome.getKey());
            }
            record.add("bookings", outcomes.size(), "run:", run.size(), "run and not answered:", lost);
        }
        return lost == 0;
    }

    /**
     * Sends one booking after the other. While the directory names no machine, the client keeps the answer that it has,
     * so it connects to the same address again.
     */
    private void book(Record record, Edge edge, Random random) throws Exception {
        Socket socket = null;
        InputStream in = null;
        String address = edge.front;
        while (!isOver) {
            String attempt = Load.nextAttempt();
            boolean isSent = false;
            double sentAt = record.now();
            try {
                if (socket == null) {
                    address = resolve(record, edge, address);
                    sentAt = record.now();
                    socket = Http.connect(address, 1000);
                    socket.setSoTimeout(DEADLINE_MS);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                isSent = true;
                byte[] body = "{\"roof\":17}".getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream().write((Deployment.head("POST", "/puxa403/2f", attempt, DEADLINE_MS)
                    + "Content-Length: " + body.length + "\r\n\r\n" + new String(body, StandardCharsets.UTF_8))
                    .getBytes(StandardCharsets.ISO_8859_1));
                Http.Message answer = Http.readHead(in);
                if (answer == null) throw new IOException("the connection ended");
                Http.readBody(in, answer);
                end(attempt, Integer.toString(answer.status()));
                if ("close".equals(answer.header("Connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (SocketTimeoutException late) {
                end(attempt, "deadline");
                if (socket != null) socket.close();
                socket = null;
            } catch (IOException failed) {
                if (isSent) {
                    end(attempt, "closed");
                    record.add("no_answer", attempt, failed.getMessage(),
                        String.format("%.0f ms after it was sent", (record.now() - sentAt) * 1000));
                }
                if (socket != null) socket.close();
                socket = null;
            }
            Thread.sleep(SHORTEST_PAUSE_MS + random.nextInt(LONGEST_PAUSE_MS - SHORTEST_PAUSE_MS));
        }
    }

    /** Asks the directory; without an answer that names an address, the client keeps the one that it has. */
    private String resolve(Record record, Edge edge, String known) {
        Http.Message answer = Http.call(edge.directory, "GET /redwingcross/resolve?name=" + Deployment.HOST
            + "&region=ulaanbaatar&zone=ub-a HTTP/1.1\r\nHost: x\r\n", new byte[0], 1000);
        int status = answer == null ? 0 : answer.status();
        synchronized (outcomes) {
            if (status != lastDirectoryStatus) record.add("directory_answers", status);
            lastDirectoryStatus = status;
        }
        if (status != 200) return known;
        List<?> addresses = (List<?>) Json.object(Json.read(new String(answer.body, StandardCharsets.UTF_8))).get("addrs");
        return (String) addresses.get(0);
    }

    private void end(String attempt, String outcome) {
        synchronized (outcomes) {
            outcomes.put(attempt, outcome);
        }
    }
}
