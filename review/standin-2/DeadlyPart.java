import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Prompts of many parts, as of a long conversation. One part, not the last, crashes each engine that begins to write an
 * answer on it. Once five engines have crashed, requests with that part must hardly reach any further one.
 */
public final class DeadlyPart extends Case {
    private static final String DEADLY_PART = "dead0007";
    private static final int PARTS = 20;
    private static final int ENGINES = 16;
    private static final int SOUND_CLIENTS = 12;
    private static final long REPEAT_MILLIS = 900;
    private static final long RUN_SECONDS = 45;
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    private static final int ALLOWED_REQUESTS = 3;
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();
    private final AtomicInteger soundFailed = new AtomicInteger();
    private volatile boolean isOver;

    private DeadlyPart(String number) throws Exception {
        super(number);
    }

    private boolean isLate(long at) {
        return crashes.size() >= 5 && at > crashes.get(4) + STABLE_WINDOW_NANOS;
    }

    /** An engine that crashes when it begins to write an answer on the deadly part; another one follows it. */
    private final class Engine extends ModelEngine {
        Engine() throws Exception {
            super(DeadlyPart.this, "i-" + starts.incrementAndGet(), "pool", 25);
        }

        @Override
        void stream(Http.Head head, String attempt, OutputStream output) throws Exception {
            if (!hasTrouble || !head.headers.get("Prompt-Prefix").contains(DEADLY_PART)) {
                super.stream(head, attempt, output);
                return;
            }
            long now = System.nanoTime();
            arrivals.add(now);
            say("engine " + id + ": " + attempt + " with the deadly part arrives"
                + (isLate(now) ? ", more than 3 s after the fifth crash" : ""));
            Thread.sleep(60);
            if (server.listener.isClosed()) return;
            crashes.add(System.nanoTime());
            say("engine " + id + " crashes");
            crash(3000);
            new Engine();
        }
    }

    private void send(boolean isSound) {
        String attempt = newAttempt();
        StringBuilder parts = new StringBuilder();
        for (int i = 1; i < PARTS; i++) {
            parts.append(i == PARTS - 1 && !isSound ? DEADLY_PART : String.format("5c1e%04x", i)).append(":20,");
        }
        try (Socket socket = edge.connect()) {
            socket.setSoTimeout(10_000);
            Map<String, String> headers = headers(attempt, 8000);
            headers.put("Model", "m0");
            headers.put("Token-Counts", 20 * PARTS + ",50");
            headers.put("Prompt-Prefix", parts + attempt + ":20");
            socket.getOutputStream().write(Http.request("POST /chat/1 HTTP/1.1", headers, ascii("{" + attempt + "}")));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.head(input);
            Http.body(head, input);
            if (!isSound) say("client: " + attempt + " with the deadly part got " + head.status());
            if (isSound && isLate(System.nanoTime())) {
                (head.status() == 200 ? soundServed : soundFailed).incrementAndGet();
            }
        } catch (IOException error) {
            if (isSound && isLate(System.nanoTime())) soundFailed.incrementAndGet();
            say("client: " + attempt + (isSound ? "" : " with the deadly part") + " got no complete answer: " + error);
        }
    }

    public static void main(String[] arguments) {
        run(() -> {
            try (DeadlyPart test = new DeadlyPart(arguments[0])) {
                for (int i = 0; i < ENGINES; i++) test.new Engine();
                test.configure(7, List.of(StopClients.route()), List.of(ModelEngine.pool("pool", "m0", 2)));
                test.edge.start();
                Thread.sleep(7000);
                for (int i = 0; i < SOUND_CLIENTS; i++) {
                    Http.daemon(() -> {
                        while (!test.isOver) {
                            test.send(true);
                            try {
                                Thread.sleep(50);
                            } catch (InterruptedException ended) {
                                return;
                            }
                        }
                    });
                }
                Thread.sleep(3500);
                for (int i = 0; i < RUN_SECONDS * 1000 / REPEAT_MILLIS; i++) {
                    Http.daemon(() -> test.send(false));
                    Thread.sleep(REPEAT_MILLIS);
                }
                test.isOver = true;
                Thread.sleep(1500);
                long late = test.arrivals.stream().filter(test::isLate).count();
                test.say(test.crashes.size() + " engines crashed; " + late + " requests with the part reached engines more "
                    + "than 3 s after the fifth crash, " + ALLOWED_REQUESTS + " are allowed; of the sound requests since then "
                    + test.soundFailed + " failed and " + test.soundServed + " were served");
                return late > ALLOWED_REQUESTS ? 1 : 0;
            }
        });
    }
}
