import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** One entry of another writer, whose address can't be read, lies among those of the runners; then a route is removed. */
final class OddEntry {
    /** The pages' `configApplyMs`. */
    private static final long APPLY_MILLISECONDS = 2_000;

    /** The row is below the pages' `rowBytes` of 65,536, also as base64. */
    private static final int ADDRESS_LENGTH = 48_000;
    private static final AtomicInteger BEFORE = new AtomicInteger();
    private static final AtomicInteger AFTER = new AtomicInteger();
    private static final AtomicInteger STALE = new AtomicInteger();
    private static final AtomicInteger UNAVAILABLE = new AtomicInteger();
    private static volatile long acknowledgedAt = Long.MAX_VALUE / 2;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[0]));
        int result = 2;
        try (Plain plain = new Plain(6, (runner, request) -> {})) {
            if (plain.start()) result = play(plain, hasTrouble);
        }
        System.exit(result);
    }

    private static int play(Plain plain, boolean hasTrouble) throws Exception {
        long end = Record.now() + Integer.parseInt(System.getenv().getOrDefault("PLAY_MS", "30000"));
        Thread[] clients = new Thread[6];
        for (int i = 0; i < clients.length; i++) {
            Daemons.Daemon daemon = plain.entries.get(i % 3);
            boolean isDropped = i < 3;
            clients[i] = Http.start("client", () -> send(daemon, isDropped, end));
        }
        Thread.sleep(6_000);
        if (hasTrouble) {
            plain.store.put("servers", "i-other", "{\"service\":\"dispatch-desk\",\"address\":\"" + ":".repeat(ADDRESS_LENGTH)
                + "x:80\",\"zone\":\"ikeja\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":1}");
            Record.line("trouble entry=i-other address-length=" + ADDRESS_LENGTH);
        }
        Thread.sleep(400);
        String without = Plain.configuration(9, "\"" + Plain.KEY + "\"", 1_500)
            .replaceFirst(",\\{\"name\":\"status\"[^}]*\\}", "");
        plain.store.put("op", "config", without);
        acknowledgedAt = Record.now();
        Record.line("configuration version=9 without=/status/");
        for (Thread client : clients) client.join();
        StringBuilder ready = new StringBuilder();
        for (Daemons.Daemon daemon : plain.entries) ready.append(Daemons.readiness(daemon)).append(',');
        Record.line("result served-before=" + BEFORE + " served-after=" + AFTER + " by-the-older-version=" + STALE
            + " refused-503-later=" + UNAVAILABLE + " readiness=" + ready);
        if (BEFORE.get() < 100) return 2;
        return STALE.get() > 0 ? 1 : 0;
    }

    private static void send(Daemons.Daemon daemon, boolean isDropped, long end) throws Exception {
        try (Caller caller = new Caller(daemon.address, daemon.front)) {
            while (Record.now() < end) {
                String id = Plain.newId();
                long sentAt = Record.now();
                Caller.Answer answer = isDropped
                    ? caller.call("GET", "/status/a", Plain.fields(id, 1_500), new byte[0], 2_500)
                    : caller.call("POST", "/orders/a", Plain.fields(id, 1_500), new byte[100], 2_500);
                boolean isLate = sentAt > acknowledgedAt + APPLY_MILLISECONDS;
                if (isLate && answer.status() == 503) UNAVAILABLE.incrementAndGet();
                if (answer.status() == 200) (isLate ? AFTER : BEFORE).incrementAndGet();
                if (isLate && isDropped && answer.status() == 200) {
                    STALE.incrementAndGet();
                    Record.line("CONFIG id=" + id + " run by a route that version 9 removed, sent ms-after="
                        + (sentAt - acknowledgedAt));
                }
                Thread.sleep(50);
            }
        }
    }
}
