package review;

import java.util.List;
import java.util.Map;

/** The store turns away the one process that holds the controller lease; meanwhile an engine drains. */
final class HolderTurnedAway implements Play.Scenario {
    private static final int EDGES = 14;
    private static final double DRAIN_S = 2.0;
    private static final int TURNED_AWAY_MS = 7000;

    @Override
    public boolean play(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        deployment.configure(7, List.of(Deployment.route("r-status", "/cufi504/", "idempotent", 1000)));
        List<String> zones = List.of("ub-a", "ub-b", "ub-c");
        for (String zone : zones) deployment.addEngine(deployment.engines.size(), zone);
        for (int edge = 0; edge < EDGES; edge++) deployment.addEdge(zones.get(edge % zones.size()));
        deployment.start();
        Thread.sleep(8000);
        Map<String, Object> lease = Json.object(deployment.store.get("duties", "controller").get("spec"));
        String holder = (String) lease.get("holder");
        record.add("lease", Json.write(lease));
        for (Edge edge : deployment.edges) {
            if (!edge.name.equals(holder)) Load.start(record, edge, "/cufi504/fi50/2f", 100);
        }
        Thread.sleep(3000);
        if (trouble) {
            record.add("store_turns_away", holder);
            deployment.store.refuse(holder, true);
        }
        Thread.sleep(1000);
        Engine leaving = deployment.engines.get(0);
        deployment.store.put("servers", leaving.id, leaving.entry("draining"));
        double acknowledged = record.now();
        record.add("draining", leaving.id);
        Thread.sleep(TURNED_AWAY_MS - 1000);
        deployment.store.refuse(holder, false);
        record.add("store_serves", holder);
        Thread.sleep(1000);
        int late = 0;
        for (Engine.Run run : leaving.runs()) {
            if (run.at <= acknowledged + DRAIN_S) continue;
            late++;
            record.add("late_run", leaving.id, run.attempt, String.format("%.3f s after", run.at - acknowledged));
        }
        record.add("lease", Json.write(deployment.store.get("duties", "controller").get("spec")));
        for (Engine engine : deployment.engines) record.add("runs", engine.id, engine.runs().size());
        record.add("late_runs", late);
        return late == 0;
    }
}
