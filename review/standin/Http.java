package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages over plain sockets. */
final class Http {
    private Http() {}

    /** A request or the head of a response; names of headers are in lower case. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    interface Handler {
        /** Serves one request; returns false to close the connection. */
        boolean serve(Socket socket, Message request, OutputStream out) throws Exception;
    }

    /** Serves each connection in a thread of its own. */
    static ServerSocket listen(String ip, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1024);
        start(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start(() -> serve(socket, handler));
            }
        });
        return server;
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            while (true) {
                Message request = readHead(in);
                if (request == null) return;
                request.body = readBody(in, request);
                if (!handler.serve(socket, request, socket.getOutputStream())) return;
            }
        }
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread start(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException ended) {
                // The peer has closed the connection, or the listener was closed.
            } catch (Exception error) {
                error.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The next head, or null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return line == null ? null : message;
    }

    static byte[] readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) throw new IOException("the body ends early");
                int size = Integer.parseInt(line.trim(), 16);
                body.write(readExactly(in, size));
                readLine(in);
                if (size == 0) return body.toByteArray();
            }
        }
        String length = message.header("Content-Length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new IOException("the body ends after " + bytes.length + " of " + size + " bytes");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(c);
        }
        return null;
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    /** One call on a connection of its own; null if there is no whole answer in time. */
    static Message call(String address, String head, byte[] body, int timeoutMs) {
        try (Socket socket = connect(address, timeoutMs)) {
            socket.setSoTimeout(timeoutMs);
            OutputStream out = socket.getOutputStream();
            out.write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Message answer = readHead(in);
            if (answer != null) answer.body = readBody(in, answer);
            return answer;
        } catch (SocketTimeoutException late) {
            return null;
        } catch (IOException failed) {
            return null;
        }
    }

    static Socket connect(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
            new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            timeoutMs);
        return socket;
    }
}
