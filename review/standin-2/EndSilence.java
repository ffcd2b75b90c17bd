import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * A process is stopped as planned, several times. Each time, the engines of some groups fall silent for a second or so
 * and go on. No answer may be broken off, whatever a stream has sent by then.
 */
public final class EndSilence extends Case {
    private static final int CLIENTS = 40;
    private static final int STOPS = 6;
    private static final long EVENT_MILLIS = 25;
    private static final long SILENCE_MILLIS = 1600;

    private EndSilence(String number) throws Exception {
        super(number);
    }

    private void client(StopClients clients) {
        Random random = new Random();
        while (true) {
            edge.resolves();
            try (Socket socket = edge.connect()) {
                socket.setSoTimeout(10_000);
                BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                while (clients.send(5 + random.nextInt(12), socket, input)) Thread.sleep(random.nextInt(50));
            } catch (IOException | InterruptedException ended) {
                // The process has ended; the next one accepts connections in a moment.
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private void silence(List<ModelEngine> engines) throws InterruptedException {
        Set<String> groups = new TreeSet<>();
        for (ModelEngine engine : engines) {
            if (engine.groupName() != null) groups.add(engine.groupName());
        }
        List<String> silent = new ArrayList<>(groups).subList(0, groups.size() / 2);
        say("the engines of the groups " + silent + " of " + groups + " fall silent");
        for (ModelEngine engine : engines) engine.isSilent = silent.contains(String.valueOf(engine.groupName()));
        Thread.sleep(SILENCE_MILLIS);
        for (ModelEngine engine : engines) engine.isSilent = false;
        say("they go on");
    }

    public static void main(String[] arguments) {
        run(() -> {
            try (EndSilence test = new EndSilence(arguments[0])) {
                List<ModelEngine> engines = new ArrayList<>();
                for (int i = 1; i <= 14; i++) engines.add(new ModelEngine(test, "i-" + i, "pool", EVENT_MILLIS));
                test.configure(7, List.of(StopClients.route()), List.of(ModelEngine.pool("pool", "m0", 2)));
                StopClients clients = new StopClients(test, engines);
                test.edge.start();
                Thread.sleep(6000);
                for (int i = 0; i < CLIENTS; i++) Http.daemon(() -> test.client(clients));
                for (int stop = 0; stop < STOPS; stop++) {
                    Thread.sleep(4500);
                    test.say("SIGTERM");
                    clients.terminatedAt = System.nanoTime();
                    test.edge.process.destroy();
                    Thread.sleep(700);
                    if (test.hasTrouble) test.silence(engines);
                    test.edge.process.waitFor(10, TimeUnit.SECONDS);
                    test.say("the process has ended and starts again");
                    Thread.sleep(200);
                    test.edge.start();
                    Thread.sleep(2000);
                    clients.terminatedAt = null;
                }
                clients.isOver = true;
                Thread.sleep(1000);
                test.say(clients.broken.get() + " answers were broken off");
                return clients.broken.get() > 0 ? 1 : 0;
            }
        });
    }
}
