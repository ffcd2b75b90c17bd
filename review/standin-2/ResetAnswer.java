import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines answer long requests before they have read them, with a body that has no length and ends with its connection.
 * An engine that crashes in the middle resets that connection; the client must not get a complete 200 then.
 */
public final class ResetAnswer extends Case {
    private static final int ENGINES = 7;
    private static final int CLIENTS = 6;
    private static final int CRASHES = 3;
    private static final int RUN_SECONDS = 30;

    /** Within `max-body-bytes` of the configuration, and more than the buffers of a connection hold. */
    private static final int REQUEST_BYTES = 4_190_000;
    private static final int ANSWER_BYTES = 4_000;
    private static final int READ_BEFORE_ANSWER = 100_000;
    private final AtomicInteger broken = new AtomicInteger();
    private volatile boolean isOver;

    private ResetAnswer(String number) throws Exception {
        super(number);
    }

    /** One engine of the service; a crash resets all of its connections, and it is back after some seconds. */
    private final class Engine {
        private final String id;
        private final Http.Server server;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean crashes;

        Engine(String id) throws Exception {
            this.id = id;
            server = new Http.Server(ip, 0, 65_536, this::serve);
            store.put("servers", id, entry("app", server.address(), Map.of()));
        }

        private void serve(Socket socket, InputStream input) throws Exception {
            connections.add(socket);
            OutputStream output = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.head(input);
                String attempt = head.headers.get("Attempt-Id");
                int length = Integer.parseInt(head.headers.getOrDefault("Content-Length", "0"));
                if (length < REQUEST_BYTES) {
                    Http.body(head, input);
                    Map<String, String> headers = Map.of("Attempt-Id", attempt, "Server-Stamp", "s." + attempt);
                    output.write(Http.response(200, headers, ascii("ready")));
                    output.flush();
                    continue;
                }
                input.readNBytes(READ_BEFORE_ANSWER);
                byte[] body = new byte[ANSWER_BYTES];
                Arrays.fill(body, (byte) 'a');
                output.write(ascii("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: s." + attempt
                    + "\r\nConnection: close\r\n\r\n"));
                output.write(body, 0, ANSWER_BYTES / 2);
                output.flush();
                Thread.sleep(150);
                if (crashes) {
                    say("engine " + id + ": " + attempt + " has " + ANSWER_BYTES / 2 + " of " + ANSWER_BYTES
                        + " bytes of its answer; the engine crashes");
                    crash();
                    return;
                }
                output.write(body, ANSWER_BYTES / 2, ANSWER_BYTES / 2);
                output.flush();
                input.readNBytes(length - READ_BEFORE_ANSWER);
                say("engine " + id + ": " + attempt + " answered " + ANSWER_BYTES + " bytes");
                socket.shutdownOutput();
                while (input.read() >= 0) Thread.onSpinWait();
                return;
            }
        }

        private synchronized void crash() throws Exception {
            if (server.listener.isClosed()) return;
            server.close();
            for (Socket socket : connections) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException closed) {
                    // The connection had ended before.
                }
            }
            Thread.sleep(4000);
            store.remove("servers", id);
            new Engine(id + "-next");
        }
    }

    private void send() {
        String attempt = newAttempt();
        try (Socket socket = edge.connect()) {
            socket.setSoTimeout(10_000);
            byte[] request = Http.request("POST /book/1 HTTP/1.1", headers(attempt, 8000), new byte[REQUEST_BYTES]);
            socket.getOutputStream().write(request);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.head(input);
            byte[] body = Http.body(head, input);
            boolean isWrong = head.status() == 200 && body.length != ANSWER_BYTES;
            say("client: " + attempt + " got " + head.status() + ", " + body.length + " bytes, complete"
                + (isWrong ? "; the engine's whole body has " + ANSWER_BYTES : ""));
            if (isWrong) broken.incrementAndGet();
        } catch (IOException error) {
            say("client: " + attempt + " got no complete answer: " + error);
        }
    }

    public static void main(String[] arguments) {
        run(() -> {
            try (ResetAnswer test = new ResetAnswer(arguments[0])) {
                List<Engine> engines = new ArrayList<>();
                for (int i = 1; i <= ENGINES; i++) engines.add(test.new Engine("i-" + i));
                test.configure(7, List.of(route("book", "non_idempotent", "app", 9000, 1)), List.of(service("app")));
                test.startAndAwait("POST /book/0 HTTP/1.1");
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(Http.daemon(() -> {
                        while (!test.isOver) test.send();
                    }));
                }
                for (int i = 0; i < CRASHES; i++) {
                    Thread.sleep(RUN_SECONDS * 1000L / (CRASHES + 1));
                    if (test.hasTrouble) engines.get(i).crashes = true;
                }
                Thread.sleep(RUN_SECONDS * 1000L / (CRASHES + 1));
                test.isOver = true;
                for (Thread client : clients) client.join(12_000);
                test.say(test.broken.get() + " cut answers were passed on as complete");
                return test.broken.get() > 0 ? 1 : 0;
            }
        });
    }
}
