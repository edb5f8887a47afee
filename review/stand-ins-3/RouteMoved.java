import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule DENIED: a version of the configuration moves a route to another service while many clients press. What waits in
 * the daemon for a runner is answered 404.
 */
final class RouteMoved {
    private static final String[] KEYS = {"urgent-key", "usual-key"};
    private static final int DEADLINE_MS = 8_000;
    private static final int WORK_MS = 400;
    private static final double USUAL_PER_S = 36;
    private static final double BURST_X = 1.7;
    private static final long BURST_AT_MS = 4_000;
    private static final long BURST_FOR_MS = 5_000;
    private static final long TRAFFIC_MS = 12_000;

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

    private static void request(Daemons.Daemon daemon, Record record, int number, Map<String, Integer> statuses, AtomicInteger denied) {
        String id = "r" + number;
        boolean isOrder = number % 4 != 0;
        String result;
        try (Client client = new Client(daemon.front)) {
            client.send(isOrder ? "POST" : "GET", isOrder ? "/orders/2f" : "/status/2f",
                Client.fields(id, KEYS[number % 2], DEADLINE_MS), isOrder ? ("order " + id).getBytes() : new byte[0]);
            Message answer = client.answer(DEADLINE_MS + 1_000);
            result = answer == null ? "closed" : Integer.toString(answer.status());
            if (answer != null && List.of(401, 403, 404).contains(answer.status())) denied.incrementAndGet();
        } catch (Exception failure) {
            result = failure.toString();
        }
        statuses.merge(result, 1, Integer::sum);
        record.line("answer " + id + " " + result);
    }

    private static String configuration(int version, String orderService) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"orders\",\"host\":\"ficu95.example\",\"prefix\":\"/orders/\",\"kind\":\"non_idempotent\",\"timeoutMs\":8000,\"goalMs\":3000,"
            + "\"priority\":2,\"service\":\"" + orderService + "\",\"attempts\":1,\"public\":false},"
            + "{\"name\":\"status\",\"host\":\"ficu95.example\",\"prefix\":\"/status/\",\"kind\":\"idempotent\",\"timeoutMs\":8000,\"goalMs\":3000,"
            + "\"priority\":2,\"service\":\"desk-a\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"desk-a\",\"healthPath\":\"/health\",\"maxConns\":110,\"coldS\":0.0,\"coldPerS\":0.0},"
            + "{\"name\":\"desk-b\",\"healthPath\":\"/health\",\"maxConns\":110,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"urgent\",\"apiKeys\":[\"" + KEYS[0] + "\"],\"priority\":1},{\"name\":\"usual\",\"apiKeys\":[\"" + KEYS[1] + "\"],\"priority\":2}]}";
    }

    private static int play(Path repository, Path work, Record record, boolean hasTrouble) throws Exception {
        Store store = new Store();
        store.put("op", "config", configuration(1, "desk-a"));
        List<String> zones = List.of("ikeja", "apapa", "lekki");
        for (String zone : zones) {
            new Runner(store, record, "i-a-" + zone, "desk-a", zone, 6, 24, WORK_MS);
            new Runner(store, record, "i-b-" + zone, "desk-b", zone, 6, 24, WORK_MS);
        }
        Daemons daemons = new Daemons(repository, work, store.address(), zones);
        Daemons.Daemon daemon = daemons.start("edge-ikeja-1", "ikeja");
        daemons.awaitReady(daemon, 20_000);
        Timing.sleep(3_500);

        AtomicInteger sent = new AtomicInteger();
        AtomicInteger denied = new AtomicInteger();
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        long startedAt = Record.now();
        ExecutorService clients = Executors.newCachedThreadPool();
        Thread arrivals = new Thread(() -> {
            double next = startedAt;
            while (next < startedAt + TRAFFIC_MS) {
                Timing.sleep(Math.max(0, Math.round(next) - Record.now()));
                double age = next - startedAt;
                boolean isBurst = age >= BURST_AT_MS && age < BURST_AT_MS + BURST_FOR_MS;
                int number = sent.incrementAndGet();
                clients.execute(() -> request(daemon, record, number, statuses, denied));
                next += 1_000 / (isBurst ? USUAL_PER_S * BURST_X : USUAL_PER_S);
            }
        });
        arrivals.start();
        Timing.sleep(startedAt + BURST_AT_MS + 4_600 - Record.now());
        if (hasTrouble) {
            store.put("op", "config", configuration(2, "desk-b"));
            record.say("version 2 acknowledged: orders go to desk-b");
        }
        arrivals.join();
        clients.shutdown();
        clients.awaitTermination(15, TimeUnit.SECONDS);
        daemons.close();
        int allowed = 5 + sent.get() / 500;
        record.say("sent " + sent + ", answers by status " + statuses + ", refused with 401, 403 or 404: " + denied + ", allowed " + allowed);
        return denied.get() > allowed ? 1 : 0;
    }
}
