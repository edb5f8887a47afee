import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** One client of a daemon. */
final class Caller implements AutoCloseable {
    /** What came of one request: [status], or 0 where the connection ended without a complete answer. */
    record Answer(int status, String signature, byte[] body, String detail) {}

    private final String address;
    private final int port;
    private volatile Socket socket;
    private InputStream in;

    Caller(String address, int port) {
        this.address = address;
        this.port = port;
    }

    boolean isConnected() {
        return socket != null;
    }

    private void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address, port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** How long the bytes of a request take to be sent, which is done in 50 equal parts. */
    int sendMilliseconds;

    private void send(byte[] bytes) throws Exception {
        java.io.OutputStream out = socket.getOutputStream();
        int parts = sendMilliseconds > 0 ? 50 : 1;
        int size = (bytes.length + parts - 1) / parts;
        for (int from = 0; from < bytes.length; from += size) {
            if (from > 0) Thread.sleep(sendMilliseconds / parts);
            out.write(bytes, from, Math.min(size, bytes.length - from));
            out.flush();
        }
    }

    /** Sends a request, on the kept connection if there is one, and waits for its answer for [milliseconds]. */
    Answer call(String method, String path, Map<String, String> fields, byte[] body, int milliseconds) {
        String id = fields.get("Request-Id");
        boolean wasKept = socket != null;
        Record.line("send id=" + id + " to=" + address + ":" + port + " " + method + " " + path + " bytes="
            + (body == null ? 0 : body.length) + " kept=" + wasKept);
        Answer answer;
        try {
            if (socket == null) connect();
            socket.setSoTimeout(milliseconds);
            send(Http.encode(method + " " + path + " HTTP/1.1", fields, body));
            Http.Message response = Http.read(in, true);
            if (response == null) {
                answer = new Answer(0, null, new byte[0], "closed");
            } else {
                answer = new Answer(response.isWhole ? response.status() : 0, response.fields.get("response-signature"),
                    response.body, response.isWhole ? "" : "cut");
                if (response.closes() || !response.isWhole) close();
            }
        } catch (Exception e) {
            answer = new Answer(0, null, new byte[0], e.getClass().getSimpleName() + ":" + e.getMessage());
        }
        if (answer.status == 0) close();
        Record.line("answer id=" + id + " status=" + answer.status + " detail=" + answer.detail + " signature="
            + answer.signature + " bytes=" + answer.body.length);
        return answer;
    }

    @Override
    public void close() {
        Socket current = socket;
        try {
            if (current != null) current.close();
        } catch (IOException e) {
            // It is closed anyhow.
        }
        socket = null;
    }
}
