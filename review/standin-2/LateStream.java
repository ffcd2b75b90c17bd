import java.util.ArrayList;
import java.util.List;

/**
 * A planned stop of the only process. Clients obtain no other address and go on sending to it. A long stream that is
 * sent more than 3 s after the SIGTERM must be refused or completed, and not be broken off at the end of the grace time.
 */
public final class LateStream extends Case {
    /** About the mean of the deployments' streams is 35 events, the longest has 87. */
    private static final int USUAL_EVENTS = 12;
    private static final int LONG_EVENTS = 86;
    private static final long EVENT_MILLIS = 55;

    private LateStream(String number) throws Exception {
        super(number);
    }

    public static void main(String[] arguments) {
        run(() -> {
            try (LateStream test = new LateStream(arguments[0])) {
                List<ModelEngine> engines = new ArrayList<>();
                for (int i = 1; i <= 6; i++) engines.add(new ModelEngine(test, "i-" + i, "pool", EVENT_MILLIS));
                test.configure(7, List.of(StopClients.route()), List.of(ModelEngine.pool("pool", "m0", 2)));
                StopClients clients = new StopClients(test, engines);
                test.edge.start();
                Thread.sleep(6000);
                for (int i = 0; i < 15; i++) clients.send(USUAL_EVENTS);
                long stoppedAt = System.nanoTime();
                if (test.hasTrouble) {
                    clients.terminatedAt = stoppedAt;
                    test.say("SIGTERM");
                    test.edge.process.destroy();
                }
                List<Thread> threads = new ArrayList<>();
                for (int i = 0; i < 24; i++) {
                    Thread.sleep(Math.max(0, 200L * i - (System.nanoTime() - stoppedAt) / 1_000_000));
                    boolean isLong = i == 16 || i == 19 || i == 22;
                    threads.add(Http.daemon(() -> clients.send(isLong ? LONG_EVENTS : USUAL_EVENTS)));
                }
                for (Thread thread : threads) thread.join(12_000);
                test.say(clients.broken.get() + " answers were broken off");
                return clients.broken.get() > 0 ? 1 : 0;
            }
        });
    }
}
