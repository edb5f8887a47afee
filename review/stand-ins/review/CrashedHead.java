package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model is served by one group of four runners, with two spares. The runner at the head of the group crashes for good: its
 * connections are reset, and its port refuses new ones. Five sound runners are left, more than a group needs.
 */
public final class CrashedHead {
    private static final int SIZE = 4;
    private static final int RUNNERS = 6;
    private static final int CLIENTS = 8;

    /** How long clients send after the crash, or after the moment at which it would be. */
    private static final int AFTER_MS = 60_000;
    private static final double REFUSED_AT_MOST = 0.6;

    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger servedLast = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, CrashedHead::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> zones = List.of("centro-a");
        deployment.configure(1, SIZE);
        Map<String, Runner> runners = new TreeMap<>();
        for (int i = 1; i <= RUNNERS; i++) runners.put("i-writer" + i, deployment.runner("i-writer" + i, "writer", "centro-a", "fabric-1"));
        deployment.start("edge-centro-a-1", "centro-a", zones);
        deployment.start("edge-centro-a-2", "centro-a", zones);
        deployment.await("both daemons are ready", 30_000, () -> deployment.isReady("edge-centro-a-1") && deployment.isReady("edge-centro-a-2"));
        Runner head = runners.get("i-writer1");
        deployment.await("the group is open", 30_000, () -> head.membership() != null && head.membership().state().equals("open"));
        Thread.sleep(3_000);

        AtomicBoolean ends = new AtomicBoolean();
        long startedAt = Store.now();
        long lastSecondsFrom = startedAt + 2_000 + AFTER_MS - 20_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Http.thread("client-" + i, () -> client(client, deployment, record, ends, lastSecondsFrom)));
        }
        Thread.sleep(2_000);
        if (trouble) head.crash();
        Thread.sleep(AFTER_MS);
        ends.set(true);
        for (Thread client : clients) client.join(10_000);
        double refused = 1 - (double) served.get() / sent.get();
        record.line("streams: %d; served: %d; refused or failed: %.3f of them; served in the last 20 s: %d", sent.get(), served.get(), refused, servedLast.get());
        for (Runner runner : runners.values()) record.line("runner %s: %s", runner.id, runner.describe());
        return refused > REFUSED_AT_MOST ? 1 : 0;
    }

    private static void client(int client, Deployment deployment, Record record, AtomicBoolean ends, long lastSecondsFrom) throws Exception {
        int front = deployment.daemons.get("edge-centro-a-" + (1 + client % 2)).front;
        for (int number = 0; !ends.get(); number++) {
            String request = "stream" + client + "-" + number;
            String end;
            long sentAt = Store.now();
            sent.incrementAndGet();
            try (Http.Connection connection = new Http.Connection(front, 9_000)) {
                connection.send("POST", "/drafts/x", "Cutting list", Deployment.streamHeaders(request, 20));
                Http.Message answer = connection.receive();
                boolean whole = answer != null && answer.status() == 200 && Deployment.isWhole(answer.text(), 20);
                if (whole) served.incrementAndGet();
                if (whole && sentAt >= lastSecondsFrom) servedLast.incrementAndGet();
                end = answer == null ? "closed without an answer" : whole ? "200, whole" : answer.status() + " " + answer.text();
            } catch (java.io.IOException failed) {
                end = "failed: " + failed.getMessage();
            }
            record.line("%s: %s", request, end);
            Thread.sleep(700);
        }
    }
}
