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
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 on blocking sockets, as much of it as the stand-ins and the clients need. */
final class Http {
    private Http() {}

    /** A request or a response; field names are in lower case. */
    static final class Message {
        String firstLine;
        final Map<String, String> fields = new TreeMap<>();
        byte[] body = new byte[0];

        /** Whether the body has its whole length, or has ended with its connection where it names none. */
        boolean isWhole = true;

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(fields.getOrDefault("connection", ""));
        }
    }

    /** Handles one request on [socket]; returns false to close the connection. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** Reads one message, or returns null at the end of the connection before its first byte. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message message = new Message();
        message.firstLine = first;
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) throw new EOFException("the head is cut off");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            message.fields.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        readBody(in, message, isResponse);
        return message;
    }

    private static void readBody(InputStream in, Message message, boolean isResponse) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.fields.getOrDefault("transfer-encoding", ""))) {
            try {
                for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                    body.write(readFully(in, size));
                    readLine(in);
                }
                readLine(in);
            } catch (IOException e) {
                message.isWhole = false;
            }
        } else if (message.fields.containsKey("content-length")) {
            int length = Integer.parseInt(message.fields.get("content-length"));
            try {
                body.write(readFully(in, length));
            } catch (IOException e) {
                message.isWhole = false;
            }
        } else if (isResponse) {
            in.transferTo(body);
        }
        message.body = body.toByteArray();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("a chunk is missing");
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body is cut off");
        return bytes;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        for (; next >= 0 && next != '\n'; next = in.read()) if (next != '\r') line.write(next);
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> fields(String... namesAndValues) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) fields.put(namesAndValues[i], namesAndValues[i + 1]);
        return fields;
    }

    static byte[] encode(String firstLine, Map<String, String> fields, byte[] body) {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body == null || body.length == 0) return start;
        byte[] whole = new byte[start.length + body.length];
        System.arraycopy(start, 0, whole, 0, start.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        return whole;
    }

    static void respond(OutputStream out, int status, Map<String, String> fields, byte[] body) throws IOException {
        out.write(encode("HTTP/1.1 " + status + " Status", fields, body));
        out.flush();
    }

    /** A listening socket with its connections. */
    static final class Server {
        final int port;
        private final ServerSocket socket = new ServerSocket();
        private final java.util.Set<Socket> connections = java.util.concurrent.ConcurrentHashMap.newKeySet();

        private Server(String address, int port) throws IOException {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(address), port), 512);
            this.port = socket.getLocalPort();
        }

        private void accept(Handler handler) throws IOException {
            while (!socket.isClosed()) {
                Socket connection = socket.accept();
                connections.add(connection);
                start("serve", () -> {
                    serve(connection, handler);
                    connections.remove(connection);
                });
            }
        }

        /** Closes the socket and resets all connections, as the end of a process does. */
        void crash() throws IOException {
            socket.close();
            for (Socket connection : connections) {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        }
    }

    /** Listens on [address]:[port], 0 for a free one; each connection has a thread. */
    static Server listen(String address, int port, Handler handler) throws IOException {
        Server server = new Server(address, port);
        start("listen-" + server.port, () -> {
            try {
                server.accept(handler);
            } catch (java.net.SocketException e) {
                // The socket was closed.
            }
        });
        return server;
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Message request = read(in, false); request != null; request = read(in, false)) {
                if (!request.isWhole || !handler.handle(request, socket, out)) return;
            }
        } catch (IOException e) {
            // The peer has closed or reset the connection.
        }
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread start(String name, Action action) {
        Thread thread = new Thread(null, () -> {
            try {
                action.run();
            } catch (Exception e) {
                Record.line("thread=" + name + " failed=" + e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
