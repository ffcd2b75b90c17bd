package review;

import java.util.List;

/** An engine's entry is removed some seconds after the store has cut off the waiting watches twice. */
final class WatchesCutOff implements Play.Scenario {
    private static final double DRAIN_S = 2.0;

    @Override
    public boolean play(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        deployment.configure(7, List.of(Deployment.route("r-status", "/cufi504/", "idempotent", 1000)));
        for (String zone : List.of("ub-a", "ub-b", "ub-c")) deployment.addEngine(deployment.engines.size(), zone);
        for (String zone : List.of("ub-a", "ub-b", "ub-c")) deployment.addEdge(zone);
        deployment.start();
        Thread.sleep(2000);
        for (Edge edge : deployment.edges) {
            for (int client = 0; client < 4; client++) Load.start(record, edge, "/cufi504/fi50/2f", 50);
        }
        Thread.sleep(1000);
        for (int cut = 0; cut < 2; cut++) {
            if (trouble) {
                record.add("store_cuts_waiting_watches");
                deployment.store.cutWatches();
            }
            Thread.sleep(1000);
        }
        Thread.sleep(3500);
        Engine leaving = deployment.engines.get(0);
        deployment.store.remove("servers", leaving.id);
        double acknowledged = record.now();
        record.add("entry_removed", leaving.id);
        Thread.sleep(4500);
        leaving.end();
        int late = 0;
        for (Engine.Run run : leaving.runs()) {
            if (run.at <= acknowledged + DRAIN_S) continue;
            late++;
            record.add("late_run", leaving.id, run.attempt, String.format("%.3f s after", run.at - acknowledged));
        }
        for (Engine engine : deployment.engines) record.add("runs", engine.id, engine.runs().size());
        record.add("late_runs", late);
        return late == 0;
    }
}
