import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner of a plain service: so many slots, a queue behind them, and rejections beyond. */
class Runner {
    final String id;
    final String service;
    final ServerSocket socket;
    private final Store store;
    private final String zone;
    private final int slots;
    private final int queue;
    private final long born = System.currentTimeMillis();
    private final Semaphore free;
    private final AtomicInteger held = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private int sequence;
    private volatile boolean isClosed;
    private volatile boolean hasLeft;
    volatile String state = "ready";
    volatile int workMilliseconds;

    /** The ids of the requests that began to run here. */
    final ConcurrentLinkedQueue<String> ran = new ConcurrentLinkedQueue<>();
    private final Record record;

    Runner(Store store, Record record, String id, String service, String zone, int slots, int queue, int workMilliseconds)
            throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.queue = queue;
        this.workMilliseconds = workMilliseconds;
        free = new Semaphore(slots, true);
        socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
        start(this::beat);
    }

    static void start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    void list() {
        sequence++;
        store.put("servers", id, "{\"service\":" + Json.quote(service) + ",\"address\":" + Json.quote(address()) + ",\"zone\":"
            + Json.quote(zone) + ",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":" + Json.quote(state)
            + ",\"coldLeftMs\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}");
    }

    /** Its entry is removed; it goes on serving. */
    void leave() {
        hasLeft = true;
        store.remove("servers", id);
    }

    private void beat() {
        while (!isClosed && !hasLeft) {
            list();
            Timing.sleep(1_200);
        }
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket connection = socket.accept();
                start(() -> serve(connection));
            } catch (IOException failure) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        connections.add(connection);
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (!isClosed) {
                Message request = Message.read(in);
                if (request == null) return;
                answer(request, connection.getOutputStream());
            }
        } catch (IOException failure) {
            // The other side has left.
        } finally {
            connections.remove(connection);
        }
    }

    private void answer(Message request, OutputStream out) throws IOException {
        String expected = request.field("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(out, "421 Misdirected Request", Map.of("Instance-Id", id), new byte[0]);
        } else if (request.path().equals("/health")) {
            write(out, "200 OK", Map.of("Instance-Id", id), new byte[0]);
        } else if (request.path().startsWith("/api/")) {
            write(out, "404 Not Found", Map.of(), new byte[0]);
        } else if (held.incrementAndGet() > slots + queue) {
            held.decrementAndGet();
            write(out, "503 Service Unavailable", Map.of("Not-Executed", "1", "Request-Id", request.field("request-id")), new byte[0]);
        } else {
            run(request, out);
        }
    }

    /** Runs {@code request}; its answer tells how many bytes the request had. */
    void run(Message request, OutputStream out) throws IOException {
        String requestId = request.field("request-id");
        free.acquireUninterruptibly();
        try {
            ran.add(requestId);
            record.line("run " + requestId + " at " + id);
            Timing.sleep(workMilliseconds);
        } finally {
            free.release();
            held.decrementAndGet();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Request-Id", requestId);
        fields.put("Response-Signature", id + "." + requestId);
        write(out, "200 OK", fields, (id + " ran " + requestId + " of " + request.body.length).getBytes());
    }

    static void write(OutputStream out, String status, Map<String, String> fields, byte[] body) throws IOException {
        out.write(Message.bytes("HTTP/1.1 " + status, fields, body));
        out.flush();
    }

    /** Ends with all connections, as a process does. */
    void close() {
        isClosed = true;
        for (Socket connection : connections) {
            try {
                connection.close();
            } catch (IOException failure) {
                // It is closed.
            }
        }
        try {
            socket.close();
        } catch (IOException failure) {
            // It is closed.
        }
    }
}
