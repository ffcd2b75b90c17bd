package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends one request after the other on a kept connection. */
final class Load {
    private static final AtomicLong attempts = new AtomicLong();

    private Load() {}

    static String nextAttempt() {
        return String.format("9c41d07b%08x", attempts.incrementAndGet());
    }

    /** Beginning of the ids of all attempts that {@link #start} sends to a process. */
    static String prefix(Edge edge) {
        return String.format("9c41%04x", edge.number);
    }

    /** Sends a GET request each [intervalMs]; records each answer that is not a 200. */
    static void start(Record record, Edge edge, String path, int intervalMs) {
        Http.start(() -> {
            Socket socket = null;
            InputStream in = null;
            while (true) {
                String attempt = prefix(edge) + String.format("%08x", attempts.incrementAndGet());
                try {
                    if (socket == null) {
                        socket = Http.connect(edge.front, 1000);
                        socket.setSoTimeout(2000);
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    byte[] head = (Deployment.head("GET", path, attempt, 1000) + "\r\n").getBytes(
                        StandardCharsets.ISO_8859_1);
                    socket.getOutputStream().write(head);
                    Http.Message answer = Http.readHead(in);
                    if (answer == null) throw new IOException("closed");
                    Http.readBody(in, answer);
                    if (answer.status() != 200) record.add("answer", edge.name, attempt, answer.status());
                    if ("close".equals(answer.header("Connection"))) throw new IOException("close");
                } catch (IOException failed) {
                    if (!"close".equals(failed.getMessage())) {
                        record.add("no_answer", edge.name, attempt, failed.getMessage());
                    }
                    if (socket != null) socket.close();
                    socket = null;
                }
                Thread.sleep(intervalMs);
            }
        });
    }
}
