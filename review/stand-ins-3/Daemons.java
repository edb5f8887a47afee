import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Daemons as separate processes, started with the command of the deploy file. */
final class Daemons {
    static final class Daemon {
        final String name;
        final String zone;
        final int front;
        final int ready;
        final int peer;
        final int metrics;
        Process process;

        Daemon(String name, String zone, int[] ports) {
            this.name = name;
            this.zone = zone;
            front = ports[0];
            ready = ports[1];
            peer = ports[2];
            metrics = ports[3];
        }
    }

    private final Path repository;
    private final Path work;
    private final String store;
    private final List<String> zones;
    private final Map<String, Daemon> all = new LinkedHashMap<>();

    Daemons(Path repository, Path work, String store, List<String> zones) {
        this.repository = repository;
        this.work = work;
        this.store = store;
        this.zones = zones;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    Daemon start(String name, String zone) throws IOException {
        return start(new Daemon(name, zone, freePorts(4)));
    }

    /** Starts the process of {@code daemon}, also again. */
    Daemon start(Daemon daemon) throws IOException {
        StringBuilder listed = new StringBuilder();
        for (String other : zones) listed.append(listed.length() == 0 ? "" : ",").append(Json.quote(other)).append(":\"lagos\"");
        String settings = "{\"nodeName\":" + Json.quote(daemon.name) + ",\"role\":\"entry\",\"machineClass\":\"edge\",\"serves\":[\"edge\"],"
            + "\"ip\":\"127.0.0.1\",\"zone\":" + Json.quote(daemon.zone) + ",\"region\":\"lagos\",\"zones\":{" + listed + "},"
            + "\"listen\":{\"front\":\"127.0.0.1:" + daemon.front + "\",\"ready\":\"127.0.0.1:" + daemon.ready + "\"},"
            + "\"internalPorts\":[" + daemon.peer + "," + daemon.peer + "],\"seeds\":[],\"bootstrap\":true,"
            + "\"limits\":{\"cpuShare\":0.57,\"cores\":2,\"memoryMb\":560,\"maxFds\":6150,\"linkMbps\":1500.0,\"diskMb\":0},"
            + "\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,"
            + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"platform\",\"gangs\"],"
            + "\"tolerate\":{\"machines\":2,\"zones\":1,\"regions\":0},"
            + "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,"
            + "\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"skewMaxMs\":5000,\"failClosed\":true,"
            + "\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":136,\"coldBurstFactor\":1.5,\"coldSlack\":5,"
            + "\"evacuateMs\":5000,\"recoveryS\":12,\"passMs\":120,\"retryAfterS\":0,\"stallMs\":5000,\"requireFencing\":false,"
            + "\"ceilingWindowS\":5,\"loadBurstFactor\":1.1},"
            + "\"platform\":{\"address\":" + Json.quote(store) + ",\"form\":\"table\",\"writesPerS\":400,\"readsPerS\":2000,\"txMs\":5.0,"
            + "\"partWritesS\":200,\"rowBytes\":65536,\"across\":false,\"historyS\":20,\"blobBytes\":8388608,\"blobMs\":25.0,\"blobMbS\":80.0}}";
        Path file = work.resolve(daemon.name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(repository.toFile());
        builder.environment().put("VANILLALINK_NODE_FILE", file.toString());
        builder.environment().put("VANILLALINK_METRICS_PORT", Integer.toString(daemon.metrics));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(work.resolve(daemon.name + ".log").toFile()));
        daemon.process = builder.start();
        all.put(daemon.name, daemon);
        return daemon;
    }

    /** The words of the {@code run} line of the deploy file. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("the deploy file has no run line");
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    boolean isReady(Daemon daemon) {
        try {
            HttpURLConnection call = (HttpURLConnection) new URL("http://127.0.0.1:" + daemon.ready + "/api/readiness").openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(1_000);
            return call.getResponseCode() == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    void awaitReady(Daemon daemon, long milliseconds) throws IOException {
        long until = Record.now() + milliseconds;
        while (!isReady(daemon)) {
            if (Record.now() > until) throw new IOException(daemon.name + " is not ready");
            Timing.sleep(100);
        }
    }

    /** Sends a signal (TERM, KILL, STOP, CONT, HUP) to a process that this started. */
    static void signal(Daemon daemon, String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(daemon.process.pid())).start().waitFor();
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }

    String log(Daemon daemon) throws IOException {
        return Files.readString(work.resolve(daemon.name + ".log"));
    }

    void close() {
        for (Daemon daemon : all.values()) daemon.process.destroyForcibly();
        for (Daemon daemon : all.values()) {
            try {
                daemon.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException failure) {
                return;
            }
        }
    }
}
