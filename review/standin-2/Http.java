import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over plain sockets, for servers and clients that have to control each byte. */
final class Http {
    private Http() {
    }

    /** The head of a request or a response; header names are compared without case. */
    static final class Head {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Serves one connection. */
    interface Serve {
        void serve(Socket socket, InputStream input) throws Exception;
    }

    /** A listening socket whose connections are served by one thread each. */
    static final class Server implements AutoCloseable {
        final ServerSocket listener = new ServerSocket();

        Server(String ip, int port, int receiveBuffer, Serve serve) throws IOException {
            if (receiveBuffer > 0) listener.setReceiveBufferSize(receiveBuffer);
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1024);
            daemon(() -> {
                while (!listener.isClosed()) {
                    Socket socket;
                    try {
                        socket = listener.accept();
                    } catch (IOException closed) {
                        return;
                    }
                    daemon(() -> {
                        try (Socket open = socket) {
                            open.setTcpNoDelay(true);
                            serve.serve(open, new BufferedInputStream(open.getInputStream()));
                        } catch (Exception ended) {
                            // The peer closed the connection, or the case did.
                        }
                    });
                }
            });
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(null, action, "case", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a head; throws EOFException if the connection ends before it. */
    static Head head(InputStream input) throws IOException {
        Head head = new Head();
        head.first = line(input);
        while (head.first.isEmpty()) head.first = line(input);
        for (String line = line(input); !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return head;
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) throw new EOFException();
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body of the length that the head states, in one of the two framings; a request without one has none. */
    static byte[] body(Head head, InputStream input) throws IOException {
        if ("chunked".equalsIgnoreCase(head.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int size = chunk(input); size > 0; size = chunk(input)) {
                bytes.write(exactly(input, size));
                line(input);
            }
            line(input);
            return bytes.toByteArray();
        }
        String length = head.headers.get("Content-Length");
        return length == null ? new byte[0] : exactly(input, Integer.parseInt(length));
    }

    private static int chunk(InputStream input) throws IOException {
        return Integer.parseInt(line(input).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream input, int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) throw new EOFException();
        return bytes;
    }

    static byte[] request(String first, Map<String, String> headers, byte[] body) {
        StringBuilder text = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || first.startsWith("POST") || first.startsWith("PUT")) {
            text.append("Content-Length: ").append(body.length).append("\r\n");
        }
        byte[] head = text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Length", String.valueOf(body.length));
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " -\r\n");
        all.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        byte[] head = text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] bytes = new byte[head.length + body.length];
        System.arraycopy(head, 0, bytes, 0, head.length);
        System.arraycopy(body, 0, bytes, head.length, body.length);
        return bytes;
    }
}
