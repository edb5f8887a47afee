import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A request that crashes runners comes again; meanwhile keys of its caller are taken away, and it uses the next one. */
final class PoisonCaller {
    private static final String[] KEYS = {"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "w83mzpq0d6rk1xv5tbhe"};
    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[0]));
        int result = 2;
        try (Plain plain = new Plain(6, 6, (runner, request) -> RUNS.put(request.fields.get("request-id"), runner.id))) {
            plain.store.put("op", "config", Plain.configuration(8, keysFrom(0), 1_500));
            for (Runner runner : plain.runners) runner.deadly = "deadly";
            if (plain.start()) result = play(plain, hasTrouble);
        }
        System.exit(result);
    }

    private static String keysFrom(int first) {
        StringBuilder keys = new StringBuilder();
        for (int i = first; i < KEYS.length; i++) keys.append(i > first ? "," : "").append("\"" + KEYS[i] + "\"");
        return keys.toString();
    }

    private static int play(Plain plain, boolean hasTrouble) throws Exception {
        long start = Record.now();
        int[] key = {0};
        Thread innocent = Http.start("innocent", () -> sendInnocent(plain, start, key));
        Thread.sleep(2_000);
        int crashes = 0;
        int late = 0;
        int version = 8;
        long thirdAt = Long.MAX_VALUE / 2;
        for (int i = 0; Record.now() - start < 50_000; i++) {
            // Keys go once the request is refused; the operator takes away two.
            boolean isRevocation = hasTrouble && key[0] < 2 && (Record.now() - start > (key[0] == 0 ? 16_000 : 32_000));
            if (isRevocation) {
                key[0]++;
                plain.store.put("op", "config", Plain.configuration(++version, keysFrom(key[0]), 1_500));
                Record.line("trouble revoked=" + KEYS[key[0] - 1] + " version=" + version);
            }
            Daemons.Daemon daemon = plain.entries.get(i % 3);
            String id = Plain.newId();
            boolean isLate = Record.now() > thirdAt + 3_000;
            try (Caller caller = new Caller(daemon.address, daemon.front)) {
                caller.call("POST", "/orders/a", Plain.fields(id, 1_500, KEYS[key[0]]), "deadly order".getBytes(), 2_000);
            }
            if (RUNS.containsKey(id)) {
                crashes++;
                if (crashes == 3) thirdAt = Record.now();
                if (isLate) late++;
                Record.line("poison id=" + id + " crashes=" + crashes + " late=" + isLate + " retries=" + late);
            }
            Thread.sleep(1_500);
        }
        innocent.join();
        Record.line("result crashes=" + crashes + " retries-later=" + late);
        if (crashes < 3) return 2;
        return late > 3 ? 1 : 0;
    }

    /** Other requests of the same tenant, which are sound. */
    private static void sendInnocent(Plain plain, long start, int[] key) throws Exception {
        Map<Integer, Caller> callers = new HashMap<>();
        for (int i = 0; Record.now() - start < 50_000; i++) {
            Daemons.Daemon daemon = plain.entries.get(i % 3);
            Caller caller = callers.computeIfAbsent(i % 3, n -> new Caller(daemon.address, daemon.front));
            String id = Plain.newId();
            caller.call("POST", "/orders/b", Plain.fields(id, 1_500, KEYS[key[0]]), ("sound " + id).getBytes(), 2_000);
            Thread.sleep(100);
        }
    }
}
