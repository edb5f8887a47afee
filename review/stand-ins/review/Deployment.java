package review;

import java.io.File;
import java.net.DatagramSocket;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's daemons, started as the deploy file says, and what they need. */
final class Deployment implements AutoCloseable {
    static final String HOST = "wuny96.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** One daemon. */
    static final class Daemon {
        final String name;
        int front;
        int ready;
        Path nodeFile;
        int metrics;
        int peers;
        Process process;

        Daemon(String name) {
            this.name = name;
        }
    }

    final Record record;
    final Store store;
    final Map<String, Daemon> daemons = new TreeMap<>();
    int coldPerS = 36;
    private final List<Process> started = new ArrayList<>();
    private final Path work;
    private boolean hasEnded;

    Deployment(Record record) throws Exception {
        this.record = record;
        this.store = new Store();
        this.work = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** The operator's configuration: a streaming route to a model with groups of [size], and orders to a plain service. */
    void configure(int version, int size) {
        store.write("op", "config", Json.write(Json.map(
            "version", version,
            "routes", List.of(
                Json.map("name", "drafts", "host", HOST, "prefix", "/drafts/", "kind", "streaming", "timeoutMs", 8_000, "goalMs", 500,
                    "gapTargetMs", 300, "priority", 1, "service", "writer", "attempts", 2, "resumable", true, "sticky", true),
                Json.map("name", "orders", "host", HOST, "prefix", "/orders/", "kind", "non_idempotent", "timeoutMs", 800,
                    "goalMs", 100, "priority", 2, "service", "desk", "attempts", 1)),
            "services", List.of(
                Json.map("name", "writer", "healthPath", "/health", "maxConns", 384, "coldPerS", coldPerS,
                    "engine", Json.map("slots", 18, "formMs", Runner.FORM_MS, "loadsPerS", 4, "loads_at_once", 4, "cachedPrefixes", 1,
                        "step_ms", 6.07, "per_seq_ms", 0.241, "read_per_s", 46_000, "stride", 5,
                        "models", List.of(Json.map("name", "m0", "size", size, "share", 1.0, "pace", 1.0, "loadS", 16, "warmS", 1.6)))),
                Json.map("name", "desk", "healthPath", "/health", "maxConns", 52)),
            "limits", Json.map("headerBytes", 16_384, "bodyBytes", 4_194_304, "headerTimeoutMs", 5_000, "idleTimeoutMs", 15_000),
            "tenants", List.of(Json.map("name", "hule930", "apiKeys", List.of(KEY))))));
    }

    Runner runner(String id, String service, String zone, String domain) throws Exception {
        Runner runner = new Runner(id, service, zone, domain, store, record);
        record.add(runner);
        return runner;
    }

    /** Writes the settings file of a daemon and starts it. */
    void start(String name, String zone, List<String> zones) throws Exception {
        Daemon daemon = daemons.computeIfAbsent(name, Daemon::new);
        boolean firstStart = daemon.nodeFile == null;
        if (firstStart) {
            daemon.front = freePort();
            daemon.ready = freePort();
            daemon.metrics = freePort();
            daemon.peers = freePort();
            daemon.nodeFile = work.resolve(name + ".json");
        }
        int peers = daemon.peers;
        {
            Map<String, Object> places = Json.map();
            for (String place : zones) places.put(place, "pt-centro");
            Files.writeString(daemon.nodeFile, Json.write(Json.map(
                "nodeName", name, "role", "entry", "machineClass", "edge", "serves", List.of("edge"), "ip", "127.0.0.1", "zone", zone,
                "region", "pt-centro", "zones", places,
                "listen", Json.map("front", "127.0.0.1:" + daemon.front, "ready", "127.0.0.1:" + daemon.ready),
                "internalPorts", List.of(peers, peers), "bootstrap", firstStart, "heartbeatMs", 1_200,
                "limits", Json.map("cpuShare", 0.75, "cores", 2, "memoryMb", 690, "maxFds", 8_200, "linkMbps", 2_000.0, "diskMb", 0),
                "bounds", Json.map("reuseAfterS", 2, "stableWindowMs", 3_000, "drainMs", 2_000, "graceS", 8, "lossSlackMs", 200,
                    "configApplyMs", 2_000, "failClosed", true, "revokeMs", 5_000, "retryBudgetRatio", 0.2, "budgetWindowS", 10,
                    "budgetSlack", 136, "evacuateMs", 5_000, "stallMs", 5_000),
                "platform", Json.map("address", "127.0.0.1:" + store.port, "form", "table", "writesPerS", 400, "readsPerS", 2_000))));
        }
        ProcessBuilder builder = new ProcessBuilder(runWords());
        builder.environment().put("VANILLALINK_NODE_FILE", daemon.nodeFile.toString());
        builder.environment().put("VANILLALINK_METRICS_PORT", Integer.toString(daemon.metrics));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(work.resolve(name + ".log").toFile()));
        daemon.process = builder.start();
        started.add(daemon.process);
        record.line("daemon %s started, process %d", name, daemon.process.pid());
    }

    /** The `run` line of the deploy file. */
    private static List<String> runWords() throws Exception {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("deploy/system.toml has no run line");
        return Arrays.asList(run.group(1).split(" "));
    }

    /** A free loopback port for TCP and UDP, below those that systems give to connections. */
    private static int freePort() throws Exception {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = 20_000 + new java.util.Random().nextInt(10_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, Http.LOOPBACK);
                DatagramSocket udp = new DatagramSocket(port, Http.LOOPBACK)) {
                return port;
            } catch (java.net.BindException taken) {
                // Another port is tried.
            }
        }
        throw new IllegalStateException("no free port");
    }

    void signal(String name, String signal) throws Exception {
        record.line("SIG%s to daemon %s", signal, name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(daemons.get(name).process.pid())).start().waitFor();
    }

    boolean isReady(String name) {
        try (Http.Connection connection = new Http.Connection(daemons.get(name).ready, 500)) {
            connection.send("GET", "/api/readiness", "", "Host: x");
            return connection.receive().status() == 200;
        } catch (Exception notReady) {
            return false;
        }
    }

    /** Waits until [condition] holds; the case can't run if it doesn't within [ms]. */
    void await(String what, long ms, Condition condition) throws Exception {
        long deadline = Store.now() + ms;
        while (!condition.holds()) {
            if (Store.now() > deadline) throw new CannotRun(what);
            Thread.sleep(20);
        }
        record.line("%s", what);
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** The case could not be set up as it needs. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String what) {
            super("not reached: " + what);
        }
    }

    static String[] headers(String request, int deadlineMs, String... more) {
        List<String> headers = new ArrayList<>(List.of("Host: " + HOST, "Request-Id: " + request, "Deadline-Ms: " + deadlineMs,
            "Authorization: Bearer " + KEY));
        headers.addAll(Arrays.asList(more));
        return headers.toArray(new String[0]);
    }

    /** The headers of a stream of [events] events. */
    static String[] streamHeaders(String request, int events) {
        return headers(request, 8_000, "Model: m0", "Token-Usage: 700," + events * 5, "Prompt-Prefix: 5c1e07a2:40,e4402b7d:660");
    }

    /** Whether the body of a stream holds all [events] events, once and in order. */
    static boolean isWhole(String body, int events) {
        StringBuilder expected = new StringBuilder();
        for (int event = 0; event < events; event++) expected.append("id: ").append(event).append("\ndata: piece-").append(event).append("\n\n");
        return body.equals(expected.toString());
    }

    /** The daemon that last said that it has taken control. */
    String holder() throws Exception {
        String holder = null;
        long highest = 0;
        for (String name : daemons.keySet()) {
            for (String line : log(name).split("\n")) {
                if (!line.contains("event=control-taken")) continue;
                long term = Long.parseLong(line.replaceAll(".* term=([0-9]+).*", "$1"));
                if (term > highest) {
                    highest = term;
                    holder = name;
                }
            }
        }
        if (holder == null) throw new CannotRun("a daemon has control");
        return holder;
    }

    String log(String name) throws Exception {
        return Files.readString(work.resolve(name + ".log"));
    }

    private synchronized void end() {
        if (hasEnded) return;
        hasEnded = true;
        String keep = System.getenv("REVIEW_KEEP");
        if (keep != null) {
            try {
                for (String name : daemons.keySet()) Files.writeString(Path.of(keep, name + ".log"), log(name));
            } catch (Exception failure) {
                failure.printStackTrace();
            }
        }
        for (Process process : started) process.destroyForcibly();
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
        File[] files = work.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        work.toFile().delete();
    }

    @Override
    public void close() {
        end();
    }
}
