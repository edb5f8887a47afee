import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule DENIED: another writer puts one entry without some fields among the runners'. It names no runner to use, but orders are
 * sent to its address, where another web server answers 404, and that goes to the clients.
 */
final class ForeignEntry {
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final int ORDERS = 400;
    private static final int GAP_MS = 25;

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        int exit = 2;
        try {
            exit = play(Path.of(arguments[0]), Path.of(arguments[2]), record, hasTrouble);
        } catch (Exception failure) {
            record.say("could not run: " + failure);
        }
        System.exit(exit);
    }

    private static int play(Path repository, Path work, Record record, boolean hasTrouble) throws Exception {
        Store store = new Store();
        store.put("op", "config", "{\"version\":1,\"routes\":["
            + "{\"name\":\"orders\",\"host\":\"ficu95.example\",\"prefix\":\"/orders/\",\"kind\":\"non_idempotent\",\"timeoutMs\":800,\"goalMs\":121,"
            + "\"priority\":2,\"service\":\"desk\",\"attempts\":1,\"public\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":110,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"]}]}");
        List<String> zones = List.of("ikeja", "apapa", "lekki");
        for (String zone : zones) new Runner(store, record, "i-" + zone, "desk", zone, 6, 24, 21);
        AtomicInteger reached = new AtomicInteger();
        ServerSocket other = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Runner.start(() -> serveOther(other, record, reached));
        Daemons daemons = new Daemons(repository, work, store.address(), zones);
        Daemons.Daemon daemon = daemons.start("edge-ikeja-1", "ikeja");
        daemons.awaitReady(daemon, 20_000);
        Timing.sleep(3_500);
        if (hasTrouble) {
            store.put("servers", "metrics-desk", entry(other.getLocalPort()));
            record.say("another writer has put an entry: " + entry(other.getLocalPort()));
            Timing.sleep(2_000);
        }

        AtomicInteger denied = new AtomicInteger();
        Map<String, Integer> statuses = new ConcurrentSkipListMap<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int i = 1; i <= ORDERS; i++) {
            String id = "r" + i;
            clients.execute(() -> order(daemon, record, id, statuses, denied));
            Timing.sleep(GAP_MS);
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        daemons.close();
        int allowed = 5 + ORDERS / 500;
        record.say("orders " + ORDERS + ", answers by status " + statuses + ", ended with a 3xx or 4xx without a runner's signature: " + denied
            + ", allowed " + allowed + "; requests that reached the address of the foreign entry: " + reached);
        return denied.get() > allowed ? 1 : 0;
    }

    /** An entry without {@code version}, {@code sequence} and {@code born}. */
    private static String entry(int port) {
        return "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"ikeja\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0}";
    }

    /** Another web server: it knows none of the paths. */
    private static void serveOther(ServerSocket socket, Record record, AtomicInteger reached) {
        while (true) {
            try {
                Socket connection = socket.accept();
                Runner.start(() -> {
                    try (connection) {
                        InputStream in = new BufferedInputStream(connection.getInputStream());
                        for (Message request = Message.read(in); request != null; request = Message.read(in)) {
                            reached.incrementAndGet();
                            record.line("the other server gets " + request.start + " " + request.field("request-id"));
                            Runner.write(connection.getOutputStream(), "404 Not Found", Map.of("Content-Type", "text/plain"), "not found".getBytes());
                        }
                    } catch (IOException failure) {
                        // The other side has left.
                    }
                });
            } catch (IOException failure) {
                return;
            }
        }
    }

    private static void order(Daemons.Daemon daemon, Record record, String id, Map<String, Integer> statuses, AtomicInteger denied) {
        String result;
        try (Client client = new Client(daemon.front)) {
            client.send("POST", "/orders/2f", Client.fields(id, KEY, 1_500), ("order " + id).getBytes());
            Message answer = client.answer(2_500);
            result = answer == null ? "closed" : Integer.toString(answer.status());
            if (answer != null && answer.status() >= 300 && answer.status() < 500 && answer.field("response-signature").isEmpty()
                    && !List.of(408, 421, 429).contains(answer.status())) denied.incrementAndGet();
        } catch (IOException failure) {
            result = failure.toString();
        }
        statuses.merge(result, 1, Integer::sum);
        record.line("answer " + id + " " + result);
    }
}
