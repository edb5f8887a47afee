package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over blocking sockets on loopback: a server with a thread for each connection, and a client's connection. */
final class Http {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private Http() {}

    /** A request or a response. [start] is its first line; names of headers ignore case. */
    static final class Message {
        String start;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name) {
            for (String part : target().replaceFirst("^[^?]*\\??", "").split("&")) {
                if (part.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers one request on its connection. */
    interface Handler {
        void handle(Message request, Exchange exchange) throws Exception;
    }

    /** The server's side of a connection. */
    static final class Exchange {
        final Socket socket;
        private final OutputStream out;

        Exchange(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void respond(int status, byte[] body, String... headers) throws IOException {
            out.write(concat(head(status, headers) + "Content-Length: " + body.length + "\r\n\r\n", body));
            out.flush();
        }

        void respond(int status, Object json, String... headers) throws IOException {
            respond(status, Json.write(json).getBytes(StandardCharsets.UTF_8), with(headers, "Content-Type: application/json"));
        }

        void start(int status, String... headers) throws IOException {
            out.write((head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void chunk(String content) throws IOException {
            byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
            out.write(concat(Integer.toHexString(bytes.length) + "\r\n", bytes));
            out.write("\r\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void end() throws IOException {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        private static String head(int status, String... headers) {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            for (String header : headers) head.append(header).append("\r\n");
            return head.toString();
        }

        private static String[] with(String[] headers, String added) {
            String[] all = java.util.Arrays.copyOf(headers, headers.length + 1);
            all[headers.length] = added;
            return all;
        }

        private static byte[] concat(String head, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.getBytes(StandardCharsets.UTF_8));
            bytes.write(body);
            return bytes.toByteArray();
        }
    }

    /** Listens on a free loopback port and returns it. */
    static ServerSocket serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(LOOPBACK, 0), 200);
        thread("accept-" + server.getLocalPort(), () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                thread("connection", () -> serve(socket, handler));
            }
        });
        return server;
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Exchange exchange = new Exchange(socket);
            while (!socket.isClosed()) {
                Message request = read(in);
                if (request == null) return;
                handler.handle(request, exchange);
            }
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException ended) {
                // The other side went away, or the case has ended.
            } catch (Exception failure) {
                failure.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a message with its whole body, or null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.headers.get("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length.trim()));
            if (message.body.length < Integer.parseInt(length.trim())) throw new EOFException("body cut");
        } else if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) body.write(chunk);
            message.body = body.toByteArray();
        }
        return message;
    }

    static Message readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.start = line;
        for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (line == null) throw new EOFException("head cut");
        return message;
    }

    /** Reads a chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("chunks cut");
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length || line(in) == null) throw new EOFException("chunk cut");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("line cut");
            }
            if (b != '\r') bytes.write(b);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** A client's connection, which may be used for many requests. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Connection(int port, int readTimeoutMs) throws IOException {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(readTimeoutMs);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String method, String path, String body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            for (String header : headers) head.append(header).append("\r\n");
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            if (bytes.length > 0) head.append("Content-Length: ").append(bytes.length).append("\r\n");
            socket.getOutputStream().write((head + "\r\n" + body).getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        /** The whole answer; null if the connection ends before its first byte. */
        Message receive() throws IOException {
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
