package review;

import java.util.List;
import java.util.Set;

/** A standby of the controller freezes and wakes again; meanwhile one engine is added and another one drains. */
final class WokenStandby implements Play.Scenario {
    private static final int EDGES = 14;
    private static final int ROUNDS = 3;
    private static final double DRAIN_S = 2.0;

    @Override
    public boolean play(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        deployment.configure(7, List.of(Deployment.route("r-status", "/cufi504/", "idempotent", 1000)));
        List<String> zones = List.of("ub-a", "ub-b", "ub-c");
        for (String zone : zones) deployment.addEngine(deployment.engines.size(), zone);
        for (int edge = 0; edge < EDGES; edge++) deployment.addEdge(zones.get(edge % zones.size()));
        deployment.start();
        Thread.sleep(8000);
        for (Edge edge : deployment.edges) Load.start(record, edge, "/cufi504/fi50/2f", 100);
        Thread.sleep(3500);
        int late = 0;
        for (int round = 0; round < ROUNDS; round++) {
            late += lateRuns(deployment, deployment.engines.get(round), trouble);
            Thread.sleep(4000);
        }
        record.add("late_runs", late);
        return late == 0;
    }

    /**
     * Adds an engine, freezes a standby, replaces {@code leaving} by a new engine, and counts the requests that reach it
     * too late.
     */
    private static int lateRuns(Deployment deployment, Engine leaving, boolean trouble) throws Exception {
        Record record = deployment.record;
        deployment.addEngine(deployment.engines.size(), "ub-b");
        Thread.sleep(2000);
        String holder = holder(deployment);
        Edge frozen = standby(deployment, holder);
        record.add("holder", holder);
        if (trouble) {
            frozen.signal("STOP");
            record.add("freeze", frozen.name);
        }
        Thread.sleep(300);
        deployment.addEngine(deployment.engines.size(), "ub-a");
        Thread.sleep(1000);
        deployment.store.put("servers", leaving.id, leaving.entry("draining"));
        double acknowledged = record.now();
        record.add("draining", leaving.id);
        Thread.sleep(3700);
        if (trouble) {
            frozen.signal("CONT");
            record.add("wake", frozen.name);
        }
        for (double until = record.now() + 2.5; record.now() < until; Thread.sleep(10)) {
            if (holder(deployment).equals(holder)) continue;
            holder = holder(deployment);
            record.add("lease_taken", "by", holder);
        }
        deployment.store.remove("servers", leaving.id);
        int late = 0;
        for (Engine.Run run : leaving.runs()) {
            if (run.at <= acknowledged + DRAIN_S || run.attempt.startsWith(Load.prefix(frozen))) continue;
            late++;
            record.add("late_run", leaving.id, run.attempt, String.format("%.3f s after", run.at - acknowledged));
        }
        return late;
    }

    private static String holder(Deployment deployment) {
        return (String) Json.object(deployment.store.get("duties", "controller").get("spec")).get("holder");
    }

    /** A process that doesn't hold the lease and waits for changes of the engines. */
    private static Edge standby(Deployment deployment, String holder) throws InterruptedException {
        while (true) {
            Set<String> watchers = deployment.store.watchers("servers");
            for (Edge edge : deployment.edges) {
                if (watchers.contains(edge.name) && !edge.name.equals(holder)) return edge;
            }
            Thread.sleep(50);
        }
    }
}
