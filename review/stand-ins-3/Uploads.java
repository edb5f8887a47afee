import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule CONFIG: 30 clients send one body within {@code bodyBytes} each, over six seconds, to one daemon; others send
 * small requests meanwhile. Those get no answer, also long after their route's {@code timeoutMs}.
 */
final class Uploads {
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final int BODY_BYTES = 4_194_304;
    private static final int UPLOADING_CLIENTS = 30;
    private static final int OTHER_CLIENTS = 24;
    private static final int UPLOAD_PARTS = 60;
    private static final int PART_PAUSE_MS = 100;
    private static final int TIMEOUT_MS = 800;
    private static final int SLACK_MS = 500;
    private static final int DEADLINE_MS = 1_500;
    private static final long TRAFFIC_MS = 25_000;

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

    private static String configuration() {
        return "{\"version\":1,\"routes\":["
            + "{\"name\":\"photos\",\"host\":\"ficu95.example\",\"prefix\":\"/photos/\",\"kind\":\"non_idempotent\",\"timeoutMs\":8000,\"goalMs\":1000,"
            + "\"priority\":2,\"service\":\"desk\",\"attempts\":1,\"public\":false},"
            + "{\"name\":\"status\",\"host\":\"ficu95.example\",\"prefix\":\"/status/\",\"kind\":\"idempotent\",\"timeoutMs\":" + TIMEOUT_MS + ",\"goalMs\":121,"
            + "\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":110,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":" + BODY_BYTES + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"]}]}";
    }

    private static int play(Path repository, Path work, Record record, boolean hasTrouble) throws Exception {
        Store store = new Store();
        store.put("op", "config", configuration());
        List<String> zones = List.of("ikeja", "apapa", "lekki");
        for (String zone : zones) new Runner(store, record, "i-" + zone, "desk", zone, 6, 24, 21);
        Daemons daemons = new Daemons(repository, work, store.address(), zones);
        Daemons.Daemon daemon = daemons.start("edge-lekki-1", "lekki");
        daemons.awaitReady(daemon, 20_000);
        Timing.sleep(3_500);

        AtomicInteger ids = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger lasting = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        Map<String, Integer> uploads = new ConcurrentSkipListMap<>();
        Map<String, Integer> others = new ConcurrentSkipListMap<>();
        long ends = Record.now() + TRAFFIC_MS;
        Thread[] threads = new Thread[UPLOADING_CLIENTS + OTHER_CLIENTS];
        for (int i = 0; i < threads.length; i++) {
            boolean isUploading = i < UPLOADING_CLIENTS;
            threads[i] = new Thread(() -> {
                if (isUploading) {
                    Timing.sleep(3_000);
                    upload(daemon, record, "u" + ids.incrementAndGet(), hasTrouble ? BODY_BYTES : 600, uploads);
                } else {
                    while (Record.now() < ends) ask(daemon, record, ids, ends, sent, lasting, unanswered, others);
                }
            });
            threads[i].start();
        }
        for (Thread thread : threads) thread.join();
        boolean lives = daemon.process.isAlive();
        record.say("uploads " + uploads);
        record.say("small requests " + others);
        record.say("the daemon's process " + (lives ? "lives" : "has ended"));
        boolean isBroken = unanswered.get() >= 8 && unanswered.get() * 4 > lasting.get();
        record.say("of " + sent + " small requests " + lasting + " lasted longer than timeoutMs (" + TIMEOUT_MS + " ms), and "
            + unanswered + " of them had no final answer " + SLACK_MS + " ms after it: CONFIG is " + (isBroken ? "broken" : "kept"));
        daemons.close();
        return isBroken ? 1 : 0;
    }

    private static void upload(Daemons.Daemon daemon, Record record, String id, int size, Map<String, Integer> results) {
        String result;
        try (Client client = new Client(daemon.front)) {
            byte[] all = Message.bytes("POST /photos/2f HTTP/1.1", Client.fields(id, KEY, 8_000), new byte[size]);
            record.line("upload " + id + " begins, " + size + " bytes");
            for (int part = 0; part < UPLOAD_PARTS; part++) {
                int from = (int) ((long) all.length * part / UPLOAD_PARTS);
                int to = (int) ((long) all.length * (part + 1) / UPLOAD_PARTS);
                client.socket.getOutputStream().write(all, from, to - from);
                Timing.sleep(PART_PAUSE_MS);
            }
            record.line("upload " + id + " is sent");
            Message answer = client.answer(9_000);
            result = answer == null ? "closed" : Integer.toString(answer.status());
        } catch (Exception failure) {
            result = failure.toString();
        }
        results.merge(result, 1, Integer::sum);
        record.line("upload " + id + " got " + result);
    }

    /** Sends requests on one connection as long as it is kept. */
    private static void ask(Daemons.Daemon daemon, Record record, AtomicInteger ids, long ends, AtomicInteger sent,
            AtomicInteger lasting, AtomicInteger unanswered, Map<String, Integer> results) {
        try (Client client = new Client(daemon.front)) {
            while (Record.now() < ends) {
                String id = "s" + ids.incrementAndGet();
                long sentAt = Record.now();
                sent.incrementAndGet();
                String result;
                boolean isKept = true;
                try {
                    client.send("GET", "/status/2f", Client.fields(id, KEY, DEADLINE_MS), new byte[0]);
                    Message answer = client.answer(DEADLINE_MS);
                    result = answer == null ? "closed" : Integer.toString(answer.status());
                    isKept = answer != null && !"close".equalsIgnoreCase(answer.field("connection"));
                } catch (java.net.SocketTimeoutException failure) {
                    result = "no answer in " + DEADLINE_MS + " ms";
                    isKept = false;
                } catch (java.io.IOException failure) {
                    result = failure.toString();
                    isKept = false;
                }
                long took = Record.now() - sentAt;
                if (took > TIMEOUT_MS) lasting.incrementAndGet();
                if (took > TIMEOUT_MS + SLACK_MS) unanswered.incrementAndGet();
                results.merge(result, 1, Integer::sum);
                record.line("answer " + id + " " + result + " after " + took);
                if (!isKept) return;
                Timing.sleep(500);
            }
        } catch (java.io.IOException failure) {
            record.line("no connection: " + failure);
            Timing.sleep(200);
        }
    }
}
