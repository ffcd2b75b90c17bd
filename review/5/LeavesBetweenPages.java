package review;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** An engine reports that it drains between two pages of the list that a starting process reads. */
final class LeavesBetweenPages implements Play.Scenario {
    private static final double DRAIN_S = 2.0;
    private static final double STABLE_WINDOW_S = 3.0;
    private static final int OTHER_ENTRIES = 60;
    private static final int PAGE = 50;

    @Override
    public boolean play(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        deployment.store.page = PAGE;
        deployment.configure(7, List.of(Deployment.route("r-status", "/cufi504/", "idempotent", 1000)));
        List<String> zones = List.of("ub-a", "ub-b", "ub-c");
        for (String zone : zones) deployment.addEngine(deployment.engines.size(), zone);
        for (int other = 0; other < OTHER_ENTRIES; other++) {
            deployment.store.put("servers", String.format("i-%08x", 0xf0000 + other),
                Json.of("service", "lm-pool", "addr", "127.0.60." + (other + 1) + ":8080", "zone", "ub-a", "version",
                    "v1", "slots", 12, "state", "ready", "cold-remaining-ms", 0, "seq", 1, "born", 1_700_000_000_000L));
        }
        deployment.addEdge("ub-a");
        deployment.addEdge("ub-b");
        deployment.start();
        Thread.sleep(3000);

        Engine leaving = deployment.engines.get(0);
        Edge restarted = deployment.edges.get(1);
        AtomicReference<Double> acknowledged = new AtomicReference<>();
        Runnable drain = () -> {
            deployment.store.put("servers", leaving.id, leaving.entry("draining"));
            acknowledged.set(record.now());
            record.add("draining", leaving.id);
        };
        restarted.kill();
        record.add("killed", restarted.name);
        if (trouble) {
            deployment.store.onPage = (kind, last) -> {
                record.add("page_sent", kind, "to", last);
                if (kind.equals("servers") && acknowledged.get() == null) drain.run();
            };
        } else {
            drain.run();
        }
        Thread.sleep(1000);
        restarted.start();
        restarted.awaitReady();
        record.add("ready", restarted.name);
        double inTouch = record.now() + STABLE_WINDOW_S;
        for (int client = 0; client < 4; client++) Load.start(record, restarted, "/cufi504/fi50/2f", 50);
        Thread.sleep(8000);
        if (acknowledged.get() == null) throw new IllegalStateException("no list of engines was read");
        int late = 0;
        for (Engine.Run run : leaving.runs()) {
            double since = run.at - acknowledged.get();
            if (run.at <= inTouch || since <= DRAIN_S) continue;
            late++;
            record.add("late_run", leaving.id, run.attempt, String.format("%.3f s after", since));
        }
        for (Engine engine : deployment.engines) record.add("runs", engine.id, engine.runs().size());
        record.add("late_runs", late);
        return late == 0;
    }
}
