import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each engine that begins to run it. It comes again with the same path, caller and body, and with
 * another query each time. Once it has crashed three engines, it must hardly reach any further one.
 */
public final class DeadlyRequest extends Case {
    private static final String DEADLY_PATH = "/book/7";
    private static final int ENGINES = 6;
    private static final int SOUND_CLIENTS = 12;
    private static final long REPEAT_MILLIS = 700;
    private static final long RUN_SECONDS = 40;
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    private static final int ALLOWED_RETRIES = 3;
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final AtomicInteger soundLost = new AtomicInteger();
    private final AtomicInteger starts = new AtomicInteger();
    private volatile boolean isOver;

    private DeadlyRequest(String number) throws Exception {
        super(number);
    }

    private boolean isLate(long at) {
        return crashes.size() >= 3 && at > crashes.get(2) + STABLE_WINDOW_NANOS;
    }

    /** One start of an engine. */
    private final class Engine {
        private final String id = "i-" + starts.incrementAndGet();
        private final Http.Server server = new Http.Server(ip, 0, 0, this::serve);
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Engine() throws Exception {
            store.put("servers", id, entry("app", server.address(), Map.of()));
        }

        private void serve(Socket socket, InputStream input) throws Exception {
            connections.add(socket);
            OutputStream output = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.head(input);
                Http.body(head, input);
                String attempt = head.headers.get("Attempt-Id");
                if (!id.equals(head.headers.get("Expect-Instance"))) {
                    output.write(Http.response(421, Map.of("Instance-Id", id), new byte[0]));
                    output.flush();
                    continue;
                }
                if (head.target().split("\\?")[0].equals(DEADLY_PATH) && hasTrouble) {
                    long now = System.nanoTime();
                    arrivals.add(now);
                    say("engine " + id + ": " + attempt + " " + head.target() + " begins to run"
                        + (isLate(now) ? ", more than 3 s after the third crash" : "") + "; the engine crashes");
                    crash();
                    return;
                }
                running.add(attempt);
                Thread.sleep(40);
                Map<String, String> headers = Map.of("Attempt-Id", attempt, "Server-Stamp", id + "." + attempt);
                output.write(Http.response(200, headers, ascii("booked")));
                output.flush();
            }
        }

        private void crash() throws Exception {
            crashes.add(System.nanoTime());
            server.close();
            for (Socket socket : connections) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException closed) {
                    // The connection had ended before.
                }
            }
            Thread.sleep(3000);
            store.remove("servers", id);
            new Engine();
        }
    }

    private void send(String target, boolean isSound) {
        String attempt = newAttempt();
        try (Socket socket = edge.connect()) {
            socket.setSoTimeout(5000);
            byte[] body = ascii("{\"roof\": 7}");
            socket.getOutputStream().write(Http.request("POST " + target + " HTTP/1.1", headers(attempt, 1000), body));
            Http.Head head = Http.head(new BufferedInputStream(socket.getInputStream()));
            boolean isLost = isSound && head.status() / 100 != 2 && running.contains(attempt);
            if (!isSound || isLost) say("client: " + attempt + " " + target + " got " + head.status());
            if (isLost && isLate(System.nanoTime())) soundLost.incrementAndGet();
        } catch (IOException error) {
            say("client: " + attempt + " " + target + " got no answer: " + error);
        }
    }

    public static void main(String[] arguments) {
        run(() -> {
            try (DeadlyRequest test = new DeadlyRequest(arguments[0])) {
                for (int i = 0; i < ENGINES; i++) test.new Engine();
                test.configure(7, List.of(route("book", "non_idempotent", "app", 1000, 1)), List.of(service("app")));
                test.startAndAwait("POST /book/0 HTTP/1.1");
                for (int i = 0; i < SOUND_CLIENTS; i++) {
                    Http.daemon(() -> {
                        Random random = new Random();
                        while (!test.isOver) {
                            test.send("/book/" + (1000 + random.nextInt(9000)), true);
                            try {
                                Thread.sleep(random.nextInt(100));
                            } catch (InterruptedException ended) {
                                return;
                            }
                        }
                    });
                }
                Thread.sleep(3500);
                for (int i = 0; i < RUN_SECONDS * 1000 / REPEAT_MILLIS; i++) {
                    int number = i;
                    Http.daemon(() -> test.send(DEADLY_PATH + "?sent=" + number, false));
                    Thread.sleep(REPEAT_MILLIS);
                }
                test.isOver = true;
                Thread.sleep(1500);
                long late = test.arrivals.stream().filter(test::isLate).count();
                test.say(test.crashes.size() + " engines crashed; " + late + " requests reached engines more than 3 s after "
                    + "the third crash, " + ALLOWED_RETRIES + " are allowed; " + test.soundLost
                    + " sound bookings that ran in that time were lost with their engines");
                return late > ALLOWED_RETRIES ? 1 : 0;
            }
        });
    }
}
