import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A small deployment with a plain service: three zones with one daemon and one runner each. */
final class Plain implements AutoCloseable {
    static final String HOST = "grit.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String[] ZONES = {"ikeja", "apapa", "lekki"};
    private static final AtomicInteger IDS = new AtomicInteger();
    final Store store;
    final Daemons daemons = new Daemons();
    final List<Daemons.Daemon> entries = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();

    Plain(int slots, Runner.Listener listener) throws Exception {
        this(slots, 3, listener);
    }

    Plain(int slots, int count, Runner.Listener listener) throws Exception {
        store = new Store("127.0.71.1");
        store.put("op", "config", configuration(7, "\"" + KEY + "\"", 1_500));
        for (int i = 0; i < count; i++) {
            String zone = ZONES[i % ZONES.length];
            runners.add(new Runner(store, "i-" + zone + "-" + i, "dispatch-desk", zone, "127.0.72." + (i + 1), slots, listener));
        }
        for (String zone : ZONES) {
            String address = "127.0.73." + (entries.size() + 1);
            entries.add(daemons.add("edge-" + zone + "-1", zone, String.join(",", ZONES), address, "127.0.71.1:" + store.port));
        }
    }

    static String configuration(int version, String keys, int timeoutMilliseconds) {
        String common = "\"host\":\"" + HOST + "\",\"service\":\"dispatch-desk\",\"goalMs\":121,\"priority\":2,\"public\":false,"
            + "\"timeoutMs\":" + timeoutMilliseconds;
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"orders\",\"prefix\":\"/orders/\",\"kind\":\"non_idempotent\",\"attempts\":1,"
            + common + "},{\"name\":\"status\",\"prefix\":\"/status/\",\"kind\":\"idempotent\",\"attempts\":2," + common + "}],"
            + "\"services\":[{\"name\":\"dispatch-desk\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[" + keys + "],\"priority\":1}]}";
    }

    /** Starts all daemons; returns whether they are ready. */
    boolean start() throws Exception {
        for (Daemons.Daemon daemon : entries) daemons.start(daemon);
        for (Daemons.Daemon daemon : entries) if (!Daemons.awaitReady(daemon, 20_000)) return false;
        return true;
    }

    static String newId() {
        return String.format("r%07d", IDS.incrementAndGet());
    }

    static java.util.Map<String, String> fields(String id, int deadlineMilliseconds) {
        return fields(id, deadlineMilliseconds, KEY);
    }

    static java.util.Map<String, String> fields(String id, int deadlineMilliseconds, String key) {
        return Http.fields("Host", HOST, "Request-Id", id, "Deadline-Ms", "" + deadlineMilliseconds,
            "Authorization", "Bearer " + key);
    }

    @Override
    public void close() throws Exception {
        daemons.close();
        Record.close();
    }
}
