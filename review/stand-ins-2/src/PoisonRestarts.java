import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A request that crashes runners comes again, seldom; between its crashes the daemons are restarted in turn. */
final class PoisonRestarts {
    /** When the request comes, in milliseconds after the start. */
    private static final long[] SENT_AT = {2_000, 4_000, 28_000, 32_000, 56_000, 58_500, 61_000, 64_000, 66_500, 69_000};

    /** When daemons begin to be stopped and started in turn; the crashes before are older than ten seconds by then. */
    private static final long[] ROLLED_AT = {15_000, 43_000};
    private static final long GAP_MILLISECONDS = 2_000;
    private static final long END_MILLISECONDS = 71_000;
    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[0]));
        int result = 2;
        try (Plain plain = new Plain(6, 6, (runner, request) -> RUNS.put(request.fields.get("request-id"), runner.id))) {
            for (Runner runner : plain.runners) runner.deadly = "deadly";
            if (plain.start()) result = play(plain, hasTrouble);
        }
        System.exit(result);
    }

    private static int play(Plain plain, boolean hasTrouble) throws Exception {
        long start = Record.now();
        Thread innocent = Http.start("innocent", () -> sendInnocent(plain, start));
        if (hasTrouble) Http.start("roll", () -> roll(plain, start));
        int crashes = 0;
        int late = 0;
        long thirdAt = Long.MAX_VALUE / 2;
        for (int i = 0; i < SENT_AT.length; i++) {
            Thread.sleep(Math.max(0, start + SENT_AT[i] - Record.now()));
            Daemons.Daemon daemon = plain.entries.get(i % 3);
            String id = Plain.newId();
            boolean isLate = Record.now() > thirdAt + 3_000;
            try (Caller caller = new Caller(daemon.address, daemon.front)) {
                caller.call("POST", "/orders/a", Plain.fields(id, 1_500), "deadly order".getBytes(), 2_000);
            }
            if (!RUNS.containsKey(id)) continue;
            crashes++;
            if (crashes == 3) thirdAt = Record.now();
            if (isLate) late++;
            Record.line("poison id=" + id + " crashes=" + crashes + " late=" + isLate + " retries=" + late);
        }
        innocent.join();
        Record.line("result crashes=" + crashes + " retries-later=" + late);
        if (crashes < 3) return 2;
        return late > 3 ? 1 : 0;
    }

    private static void roll(Plain plain, long start) throws Exception {
        for (long rolledAt : ROLLED_AT) {
            Thread.sleep(start + rolledAt - Record.now());
            Record.line("trouble roll_term of all daemons, one after the other");
            for (Daemons.Daemon daemon : plain.entries) {
                Http.start("restart", () -> plain.daemons.restart(daemon, 8_000));
                Thread.sleep(GAP_MILLISECONDS);
            }
        }
    }

    /** Sound requests of the same caller, at the next daemon that is ready. */
    private static void sendInnocent(Plain plain, long start) throws Exception {
        for (int i = 0; Record.now() - start < END_MILLISECONDS; i++) {
            Daemons.Daemon daemon = plain.entries.get(i % 3);
            if (i % 10 < 3 && Daemons.readiness(daemon) != 200) continue;
            try (Caller caller = new Caller(daemon.address, daemon.front)) {
                String id = Plain.newId();
                caller.call("POST", "/orders/b", Plain.fields(id, 1_500), ("sound " + id).getBytes(), 2_000);
            }
            Thread.sleep(100);
        }
    }
}
