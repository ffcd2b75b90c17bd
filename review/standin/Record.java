package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one play: what was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private final long start = System.nanoTime();
    private final PrintWriter file;
    private boolean isEnded;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path));
    }

    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    /** Adds the last line; what clients see while the processes are ended isn't recorded. */
    synchronized void end(String event, Object... words) {
        add(event, words);
        isEnded = true;
    }

    synchronized void add(String event, Object... words) {
        if (isEnded) return;
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%8.3f %s", now(), event));
        for (Object word : words) line.append(' ').append(word);
        file.println(line);
        file.flush();
    }
}
