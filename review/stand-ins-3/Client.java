import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** One connection of a client to a daemon. */
final class Client implements AutoCloseable {
    final Socket socket;
    private final InputStream in;

    Client(int port) throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Map<String, String> fields(String id, String key, int deadline) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "ficu95.example");
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", Integer.toString(deadline));
        if (key != null) fields.put("Authorization", "Bearer " + key);
        return fields;
    }

    void send(String method, String target, Map<String, String> fields, byte[] body) throws IOException {
        socket.getOutputStream().write(Message.bytes(method + " " + target + " HTTP/1.1", fields, body));
    }

    /** Reads the answer, or returns null where the connection ends before it. */
    Message answer(int milliseconds) throws IOException {
        socket.setSoTimeout(milliseconds);
        return Message.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
