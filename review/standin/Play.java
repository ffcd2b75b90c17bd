package review;

import java.nio.file.Path;

/** Runs the play of one case: the name of its class and the folder of its record. */
final class Play {
    private static final int LONGEST_S = 110;

    interface Scenario {
        /** Returns whether the rule held. {@code trouble} is false if the disruption is left out. */
        boolean play(Deployment deployment, boolean trouble) throws Exception;
    }

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        Deployment deployment = new Deployment(record);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.add("play", arguments[0], trouble ? "with the disruption" : "without the disruption");
        Http.start(() -> {
            Thread.sleep(LONGEST_S * 1000L);
            record.add("cannot_run", "the play takes too long");
            deployment.end(2);
        });
        int status = 2;
        try {
            Scenario scenario = (Scenario) Class.forName("review." + arguments[0]).getDeclaredConstructor().newInstance();
            status = scenario.play(deployment, trouble) ? 0 : 1;
        } catch (Throwable error) {
            error.printStackTrace();
            record.add("cannot_run", error);
        }
        deployment.end(status);
    }
}
