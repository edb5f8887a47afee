import java.io.File;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The daemons under test, started with the command of the deploy file. */
final class Daemons implements AutoCloseable {
    static final class Daemon {
        String name;
        String address;
        int front;
        int ready;
        int metrics;
        Path nodeFile;
        Process process;
        Path log;
    }

    private final Path repository = Path.of("").toAbsolutePath();
    private final Path folder;
    private final String command;
    private final List<Daemon> daemons = new ArrayList<>();

    Daemons() throws Exception {
        folder = Files.createTempDirectory("review-");
        String line = Files.readAllLines(repository.resolve("deploy/system.toml")).stream()
            .filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
        command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Writes the settings file of a daemon at [address] in [zone]; [zones] are all zones, by commas. */
    Daemon add(String name, String zone, String zones, String address, String store) throws Exception {
        Daemon daemon = new Daemon();
        daemon.name = name;
        daemon.address = address;
        daemon.front = freePort(address);
        daemon.ready = freePort(address);
        daemon.metrics = freePort(address);
        int control = freePort(address);
        int peers = freePort(address);
        StringBuilder regions = new StringBuilder();
        for (String z : zones.split(",")) regions.append(regions.length() > 0 ? "," : "").append("\"" + z + "\":\"lagos\"");
        String settings = "{\"nodeName\":\"" + name + "\",\"role\":\"entry\",\"machineClass\":\"edge\",\"serves\":[\"edge\"],"
            + "\"ip\":\"" + address + "\",\"zone\":\"" + zone + "\",\"region\":\"lagos\",\"zones\":{" + regions + "},"
            + "\"listen\":{\"front\":\"" + address + ":" + daemon.front + "\",\"ready\":\"" + address + ":" + daemon.ready
            + "\",\"control\":\"" + address + ":" + control + "\"},\"internalPorts\":[" + peers + "," + peers + "],"
            + "\"seeds\":[],\"bootstrap\":true,\"inTolerance\":false,"
            + "\"limits\":{\"cpuShare\":0.57,\"cores\":2,\"memoryMb\":560,\"maxFds\":6150,\"linkMbps\":1500.0,\"diskMb\":0},"
            + "\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,"
            + "\"tolerate\":{\"machines\":2,\"zones\":1,\"regions\":0},"
            + "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,"
            + "\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,"
            + "\"skewMaxMs\":5000,\"failClosed\":true,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,"
            + "\"budgetSlack\":136,\"coldBurstFactor\":1.5,\"coldSlack\":5,\"evacuateMs\":5000,\"recoveryS\":12,"
            + "\"passMs\":120,\"retryAfterS\":0,\"stallMs\":5000,\"requireFencing\":false,\"ceilingWindowS\":5,"
            + "\"loadBurstFactor\":1.1},\"platform\":{\"address\":\"" + store + "\",\"form\":\"table\",\"writesPerS\":400,"
            + "\"readsPerS\":2000,\"txMs\":5.0,\"partWritesS\":200,\"rowBytes\":65536,\"across\":false,\"historyS\":20}}";
        daemon.nodeFile = folder.resolve(name + ".json");
        Files.writeString(daemon.nodeFile, settings);
        daemons.add(daemon);
        return daemon;
    }

    private static int freePort(String address) throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    void start(Daemon daemon) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.directory(repository.toFile());
        builder.environment().put("VANILLALINK_NODE_FILE", daemon.nodeFile.toString());
        builder.environment().put("VANILLALINK_METRICS_PORT", "" + daemon.metrics);
        daemon.log = folder.resolve(daemon.name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.log.toFile()));
        daemon.process = builder.start();
        Record.line("started daemon=" + daemon.name);
        Http.start("watch-" + daemon.name, () -> {
            Process process = daemon.process;
            Record.line("ended daemon=" + daemon.name + " status=" + process.waitFor());
        });
    }

    static void signal(Process process, String name) throws Exception {
        Record.line("signal name=" + name);
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    /** Stops the daemon with SIGTERM, kills it after [graceMilliseconds] if need be, and starts it again. */
    void restart(Daemon daemon, long graceMilliseconds) throws Exception {
        Record.line("stopping daemon=" + daemon.name);
        signal(daemon.process, "TERM");
        if (!daemon.process.waitFor(graceMilliseconds, TimeUnit.MILLISECONDS)) daemon.process.destroyForcibly().waitFor();
        start(daemon);
    }

    /** The status of the daemon's readiness, or 0 without an answer within a second. */
    static int readiness(Daemon daemon) {
        try {
            URL url = new URL("http://" + daemon.address + ":" + daemon.ready + "/api/readiness");
            HttpURLConnection connection = (HttpURLConnection) url.openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status;
        } catch (java.io.IOException e) {
            return 0;
        }
    }

    static boolean awaitReady(Daemon daemon, long milliseconds) throws Exception {
        for (long end = Record.now() + milliseconds; Record.now() < end; Thread.sleep(100)) {
            if (readiness(daemon) == 200) return true;
        }
        return false;
    }

    private void endAll() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) daemon.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws Exception {
        endAll();
        for (Daemon daemon : daemons) if (daemon.process != null) daemon.process.waitFor(5, TimeUnit.SECONDS);
        if (System.getenv("KEEP_LOGS") != null) for (Daemon daemon : daemons) Files.copy(daemon.log, Path.of(System.getenv("KEEP_LOGS"), daemon.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }
}
