import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule DRAIN: runners leave one after the other, and the platform's store falls silent for a while. Requests go to one that
 * the store had taken from its list before, long after the store has come back.
 */
final class RunnerGone {
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final int DRAIN_MS = 2_000;
    private static final int STABLE_WINDOW_MS = 3_000;
    private static final int SILENT_MS = 3_400;
    private static final int RUNNERS = 52;

    /** 0.154 of the runners; the site takes 0.171 at most. */
    private static final int LEAVERS = 8;
    private static final int LEAVE_GAP_MS = 15;

    /** The longest work of an order in the site file. */
    private static final int WORK_MS = 110;

    /** How long a runner that has left serves: {@code drainMs} and "at times many seconds". */
    private static final int SERVES_MS = 6_800;

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
        Map<String, Long> goneAt = new ConcurrentHashMap<>();
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        Map<String, String> results = new ConcurrentHashMap<>();
        Map<String, String> ranLate = new ConcurrentSkipListMap<>();
        long[] stableAt = {Long.MAX_VALUE};
        List<Runner> runners = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            runners.add(new Runner(store, record, "i-" + i, "desk", zones.get(i % 3), 6, 24, WORK_MS) {
                @Override
                void run(Message request, java.io.OutputStream out) throws java.io.IOException {
                    Long gone = goneAt.get(id);
                    String requestId = request.field("request-id");
                    long now = Record.now();
                    Long sent = sentAt.get(requestId);
                    if (gone != null && now > gone + DRAIN_MS && sent != null && sent >= stableAt[0]) {
                        ranLate.put(requestId, id + " " + (now - gone) + " ms after the store had acknowledged that it is gone");
                        record.line("late: " + requestId + " reaches " + ranLate.get(requestId));
                    }
                    super.run(request, out);
                }
            });
        }
        Daemons daemons = new Daemons(repository, work, store.address(), zones);
        Daemons.Daemon daemon = daemons.start("edge-ikeja-1", "ikeja");
        daemons.awaitReady(daemon, 20_000);

        AtomicInteger ids = new AtomicInteger();
        Map<String, Integer> statuses = new ConcurrentSkipListMap<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        boolean[] isOver = {false};
        Thread arrivals = new Thread(() -> {
            while (!isOver[0]) {
                String id = "r" + ids.incrementAndGet();
                clients.execute(() -> order(daemon, record, id, sentAt, results, statuses));
                Timing.sleep(10);
            }
        });
        arrivals.start();
        Timing.sleep(4_000);

        for (int i = 0; i < LEAVERS; i++) {
            Runner leaver = runners.get(i);
            leaver.leave();
            goneAt.put(leaver.id, Record.now());
            record.line("the store has acknowledged that " + leaver.id + " is gone");
            Runner.start(() -> {
                Timing.sleep(SERVES_MS);
                leaver.close();
                record.line(leaver.id + " has ended");
            });
            if (i < LEAVERS - 1) Timing.sleep(LEAVE_GAP_MS);
        }
        Timing.sleep(30);
        if (hasTrouble) {
            store.setSilent(true);
            record.say("the store falls silent");
            Timing.sleep(SILENT_MS);
            store.setSilent(false);
            record.say("the store answers again");
        } else {
            Timing.sleep(SILENT_MS);
        }
        stableAt[0] = Record.now() + STABLE_WINDOW_MS;
        Timing.sleep(10_000);
        isOver[0] = true;
        arrivals.join();
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        daemons.close();
        long lost = ranLate.keySet().stream().filter(id -> !"200".equals(results.get(id))).count();
        record.say("orders " + ids + ", answers " + statuses + "; sent when the store had been stable for " + STABLE_WINDOW_MS
            + " ms, and run by a runner that had been gone for more than drainMs: " + ranLate.size() + ", of which " + lost
            + " got no success since that runner ended");
        return ranLate.isEmpty() ? 0 : 1;
    }

    private static void order(Daemons.Daemon daemon, Record record, String id, Map<String, Long> sentAt, Map<String, String> results,
            Map<String, Integer> statuses) {
        String result;
        try (Client client = new Client(daemon.front)) {
            sentAt.put(id, Record.now());
            client.send("POST", "/orders/2f", Client.fields(id, KEY, 1_500), ("order " + id).getBytes());
            Message answer = client.answer(2_500);
            result = answer == null ? "closed" : Integer.toString(answer.status());
        } catch (java.io.IOException failure) {
            result = failure.toString();
        }
        results.put(id, result);
        statuses.merge(result, 1, Integer::sum);
        record.line("answer " + id + " " + result);
    }
}
