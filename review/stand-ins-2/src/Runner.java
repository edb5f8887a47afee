import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.zip.CRC32;

/** Stand-in of a runner of a plain service: it runs each request for a while and answers with a signature. */
final class Runner {
    final String id;
    final String service;
    final String zone;
    final int port;
    private final String address;
    private final Store store;
    private volatile long born = System.currentTimeMillis();
    private volatile Http.Server server;

    /** What crashes the runner if a body begins with it, or null; it is back after some seconds. */
    volatile String deadly;
    volatile long restartMilliseconds = 2_500;
    private final int slots;
    private final java.util.Random random;
    private int running;
    private long sequence;
    volatile long workMilliseconds = 20;
    volatile boolean isDraining;

    /** Which part of the requests that it runs it ends with this status and no signature, in place of their answer. */
    volatile double failingShare;
    volatile int failure = 500;

    /** Told of each request that begins to run. */
    interface Listener {
        void onRun(Runner runner, Http.Message request);
    }

    private final Listener listener;

    Runner(Store store, String id, String service, String zone, String address, int slots, Listener listener)
            throws Exception {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.address = address;
        this.slots = slots;
        this.listener = listener;
        random = new java.util.Random(id.hashCode());
        server = Http.listen(address, 0, this::handle);
        port = server.port;
        publish();
        Http.start("heartbeat-" + id, () -> {
            while (true) {
                Thread.sleep(1_200);
                if (server != null) publish();
            }
        });
    }

    synchronized void publish() {
        sequence++;
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address + ":" + port + "\",\"zone\":\""
            + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + (isDraining ? "draining" : "ready")
            + "\",\"coldLeftMs\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}");
    }

    static long checksum(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes);
        return sum.getValue();
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String expected = request.fields.get("expect-instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, Http.fields("Instance-Id", id), new byte[0]);
            return true;
        }
        if (request.target().startsWith("/health")) {
            Http.respond(out, isDraining ? 503 : 200, Http.fields("Instance-Id", id), new byte[0]);
            return true;
        }
        String requestId = request.fields.get("request-id");
        if (!take()) {
            Record.line("full runner=" + id + " id=" + requestId);
            Http.respond(out, 503, Http.fields("Request-Id", requestId, "Not-Executed", "1"), new byte[0]);
            return true;
        }
        try {
            Record.line("run runner=" + id + " id=" + requestId + " bytes=" + request.body.length
                + " sum=" + checksum(request.body) + " tenant=" + request.fields.get("tenant"));
            listener.onRun(this, request);
            String mark = deadly;
            if (mark != null && new String(request.body).startsWith(mark)) {
                crash();
                return false;
            }
            Thread.sleep(workMilliseconds);
        } finally {
            leave();
        }
        if (random.nextDouble() < failingShare) {
            Record.line("fail runner=" + id + " id=" + requestId + " status=" + failure);
            Http.respond(out, failure, Http.fields("Request-Id", requestId), "failed".getBytes());
            return true;
        }
        byte[] body = new byte[800];
        Arrays.fill(body, (byte) 'a');
        Http.respond(out, 200, Http.fields("Request-Id", requestId, "Response-Signature", id + "." + requestId), body);
        return true;
    }

    private void crash() throws Exception {
        Http.Server crashed;
        synchronized (this) {
            crashed = server;
            server = null;
        }
        if (crashed == null) return;
        Record.line("crash runner=" + id + " born=" + born);
        crashed.crash();
        Http.start("restart-" + id, () -> {
            Thread.sleep(restartMilliseconds);
            synchronized (this) {
                born = System.currentTimeMillis();
                sequence = 0;
                server = Http.listen(address, port, this::handle);
            }
            publish();
            Record.line("restarted runner=" + id + " born=" + born);
        });
    }

    private synchronized boolean take() throws InterruptedException {
        long end = Record.now() + 1_000;
        // A few requests wait for a slot.
        for (long left = 1; running >= slots; left = end - Record.now()) {
            if (left <= 0) return false;
            wait(left);
        }
        running++;
        return true;
    }

    private synchronized void leave() {
        running--;
        notifyAll();
    }
}
