import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Rule DENIED: requests with a long query, within {@code headerBytes}, are answered 400. */
final class LongTarget {
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final int CLIENTS = 30;
    private static final int REQUESTS_OF_CLIENT = 20;
    private static final int QUERY_BYTES = 6_000;

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
            + "{\"name\":\"status\",\"host\":\"ficu95.example\",\"prefix\":\"/status/\",\"kind\":\"idempotent\",\"timeoutMs\":800,\"goalMs\":121,"
            + "\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":110,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"]}]}");
        List<String> zones = List.of("ikeja", "apapa", "lekki");
        for (String zone : zones) new Runner(store, record, "i-" + zone, "desk", zone, 6, 24, 21);
        Daemons daemons = new Daemons(repository, work, store.address(), zones);
        Daemons.Daemon daemon = daemons.start("edge-lekki-1", "lekki");
        daemons.awaitReady(daemon, 20_000);
        Timing.sleep(3_500);

        AtomicInteger sent = new AtomicInteger();
        AtomicInteger denied = new AtomicInteger();
        Map<String, Integer> statuses = new ConcurrentSkipListMap<>();
        Thread[] threads = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            threads[i] = new Thread(() -> {
                for (int k = 0; k < REQUESTS_OF_CLIENT; k++) {
                    int number = sent.incrementAndGet();
                    String id = "r" + number;
                    // One request in ten has the long query.
                    boolean isLong = hasTrouble && number % 10 == 0;
                    String target = "/status/2f?bins=" + "x".repeat(isLong ? QUERY_BYTES : 60);
                    String result;
                    try (Client client = new Client(daemon.front)) {
                        client.send("GET", target, Client.fields(id, KEY, 1_500), new byte[0]);
                        Message answer = client.answer(2_500);
                        result = answer == null ? "closed" : Integer.toString(answer.status());
                        if (answer != null && answer.status() >= 300 && answer.status() < 500
                                && !List.of(408, 421, 429).contains(answer.status())) denied.incrementAndGet();
                    } catch (java.io.IOException failure) {
                        result = failure.toString();
                    }
                    statuses.merge(result, 1, Integer::sum);
                    record.line("answer " + id + " " + result + " to a target of " + target.length() + " bytes");
                    Timing.sleep(200);
                }
            });
            threads[i].start();
        }
        for (Thread thread : threads) thread.join();
        daemons.close();
        int allowed = 5 + sent.get() / 500;
        record.say("sent " + sent + ", answers by status " + statuses + ", ended with a 3xx or 4xx: " + denied + ", allowed " + allowed);
        return denied.get() > allowed ? 1 : 0;
    }
}
