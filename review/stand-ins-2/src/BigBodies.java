import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send bodies within the operator's limit to one daemon: all at the same time, or, without the trouble, three at
 * a time. Beside them other clients send small requests on kept connections.
 */
final class BigBodies {
    /** Below the operator's `bodyBytes` of 4,194,304. */
    private static final int SIZE = 4_000_000;

    /** The route's `timeoutMs`. */
    private static final int TIMEOUT_MILLISECONDS = 1_500;
    private static final int CALM_CLIENTS = 9;
    private static final int BURST_MILLISECONDS = 3_000;
    private static final int UPLOAD_MILLISECONDS = 4_000;
    private static final int DEADLINE_MILLISECONDS = 8_000;
    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int clients = Integer.parseInt(System.getenv().getOrDefault("CLIENTS", "66"));
        Record.open(Path.of(args[0]));
        int result = 2;
        try (Plain plain = new Plain(6, (runner, request) -> RUNS.put(request.fields.get("request-id"), runner.id))) {
            if (plain.start()) result = play(plain, hasTrouble, clients);
        }
        System.exit(result);
    }

    /** What the rule counts: requests that are unanswered at their route's time, and those of them half a second later. */
    private static final AtomicInteger OVERDUE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static volatile long judgedFrom = Long.MAX_VALUE;

    private static int play(Plain plain, boolean hasTrouble, int clients) throws Exception {
        Daemons.Daemon daemon = plain.entries.get(0);
        AtomicInteger before = new AtomicInteger();
        AtomicInteger after = new AtomicInteger();
        long end = Record.now() + 45_000;
        List<Thread> small = new ArrayList<>();
        for (int i = 0; i < 8; i++) small.add(Http.start("small", () -> sendSmall(daemon, end, before, after)));
        Thread.sleep(5_000);
        Record.line("phase=large");
        List<Thread> large = new ArrayList<>();
        for (int i = 0; i < (hasTrouble ? clients : CALM_CLIENTS); i++) {
            large.add(Http.start("large", () -> sendLarge(daemon)));
            if (hasTrouble) Thread.sleep(BURST_MILLISECONDS / clients);
            else if (i % 3 == 2) for (Thread thread : large) thread.join();
        }
        for (Thread thread : large) thread.join();
        // The users' pages count a machine as disturbed for 5 s after its callers pressed, and 3 s (`stableWindowMs`).
        Thread.sleep(8_000);
        judgedFrom = Record.now();
        Record.line("phase=judged");
        for (Thread thread : small) thread.join();
        Record.line("result served-before=" + before + " served-after=" + after + " overdue=" + OVERDUE + " unanswered="
            + UNANSWERED + " readiness=" + Daemons.readiness(daemon) + " alive=" + daemon.process.isAlive());
        if (System.getenv("DUMP") != null) {
            Daemons.signal(daemon.process, "QUIT");
            Thread.sleep(1_000);
        }
        if (before.get() < 100) return 2;
        return UNANSWERED.get() >= 8 && UNANSWERED.get() * 2 > OVERDUE.get() ? 1 : 0;
    }

    private static void sendLarge(Daemons.Daemon daemon) {
        try (Caller caller = new Caller(daemon.address, daemon.front)) {
            caller.sendMilliseconds = UPLOAD_MILLISECONDS;
            // At its deadline a client gives up, also one whose bytes nobody reads.
            Http.start("deadline", () -> {
                Thread.sleep(DEADLINE_MILLISECONDS);
                caller.close();
            });
            caller.call("POST", "/orders/a", Plain.fields(Plain.newId(), DEADLINE_MILLISECONDS), new byte[SIZE],
                DEADLINE_MILLISECONDS);
        }
    }

    private static void sendSmall(Daemons.Daemon daemon, long end, AtomicInteger before, AtomicInteger after)
            throws Exception {
        try (Caller caller = new Caller(daemon.address, daemon.front)) {
            while (Record.now() < end) {
                String id = Plain.newId();
                long sentAt = Record.now();
                Caller.Answer answer = caller.call("POST", "/orders/a", Plain.fields(id, 4_000), new byte[600], 4_000);
                long milliseconds = Record.now() - sentAt;
                boolean isJudged = sentAt >= judgedFrom;
                if (answer.status() == 200) (isJudged ? after : before).incrementAndGet();
                if (isJudged && milliseconds > TIMEOUT_MILLISECONDS) OVERDUE.incrementAndGet();
                if (isJudged && milliseconds > TIMEOUT_MILLISECONDS + 500) {
                    UNANSWERED.incrementAndGet();
                    Record.line("CONFIG id=" + id + " ms=" + milliseconds + " status=" + answer.status() + " detail="
                        + answer.detail());
                }
                Thread.sleep(50);
            }
        }
    }
}
