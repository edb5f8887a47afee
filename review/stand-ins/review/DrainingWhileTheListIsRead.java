package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store lists more runners than one answer holds. A runner reports that it drains while a daemon that has just been
 * started reads the list page by page. The daemon must not send it anything two seconds later.
 */
public final class DrainingWhileTheListIsRead {
    private static final int OTHER_RUNNERS = 520;
    private static final int DRAIN_MS = 2_000;
    private static final int IN_TOUCH_MS = 3_000;

    /** The runner goes on serving this long after it has reported that it drains. */
    private static final int SERVES_ON_MS = 9_000;
    private static final int CLIENTS = 14;
    private static final String LEAVER = "i-0000leaver";

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, DrainingWhileTheListIsRead::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> zones = List.of("centro-a");
        deployment.configure(1, 2);
        Runner leaver = deployment.runner(LEAVER, "desk", "centro-a", null);
        Runner other = deployment.runner("i-0001stays", "desk", "centro-a", null);
        leaver.workMs = 60;
        other.workMs = 60;
        for (int i = 0; i < OTHER_RUNNERS; i++) {
            deployment.store.write("servers", String.format("i-1%04d", i), Json.write(Json.map("service", "archive",
                "address", "127.0.0.1:" + (30_500 + i), "zone", "centro-a", "version", "v1", "slots", 6, "state", "ready",
                "coldLeftMs", 0, "born", 1_790_000_000_000L + i, "sequence", 0)));
        }
        deployment.start("edge-centro-a-1", "centro-a", zones);
        deployment.start("edge-centro-a-2", "centro-a", zones);
        deployment.await("both daemons are ready", 30_000, () -> deployment.isReady("edge-centro-a-1") && deployment.isReady("edge-centro-a-2"));

        // Planned work: the first daemon is stopped and started again.
        deployment.signal("edge-centro-a-1", "TERM");
        deployment.daemons.get("edge-centro-a-1").process.waitFor();
        record.line("daemon edge-centro-a-1 has ended");
        long[] drainedAt = {0};
        AtomicInteger pages = new AtomicInteger();
        Runnable drain = () -> {
            drainedAt[0] = Store.now();
            leaver.drain();
        };
        long[] firstPageAt = {0};
        deployment.store.onNextPage = table -> {
            if (!table.equals("servers") || firstPageAt[0] == 0) return;
            record.line("the second page is asked for %d ms after the first one was answered", Store.now() - firstPageAt[0]);
            firstPageAt[0] = 0;
        };
        // Only the daemon that starts reads whole tables.
        deployment.store.onFirstPage = table -> {
            if (!table.equals("servers") || pages.getAndIncrement() > 0) return;
            firstPageAt[0] = Store.now();
            if (trouble) drain.run();
        };
        long startedAt = Store.now();
        deployment.start("edge-centro-a-1", "centro-a", zones);
        deployment.await("the daemon is ready again", 30_000, () -> deployment.isReady("edge-centro-a-1"));
        if (!trouble) {
            Thread.sleep(1_000);
            drain.run();
        }
        if (drainedAt[0] == 0) throw new Deployment.CannotRun("the daemon read the list in one page");

        ConcurrentHashMap<String, Long> sentAt = new ConcurrentHashMap<>();
        ConcurrentHashMap<String, String> ends = new ConcurrentHashMap<>();
        long until = drainedAt[0] + SERVES_ON_MS + 1_000;
        int front = deployment.daemons.get("edge-centro-a-1").front;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Http.thread("client-" + i, () -> client(client, front, until, sentAt, ends)));
        }
        Thread.sleep(Math.max(0, drainedAt[0] + SERVES_ON_MS - Store.now()));
        leaver.exit();
        for (Thread client : clients) client.join(10_000);

        int late = 0;
        int lost = 0;
        for (String request : new java.util.TreeSet<>(sentAt.keySet())) {
            boolean ranThere = record.runsOf(request).contains(LEAVER);
            long afterDrain = sentAt.get(request) - drainedAt[0];
            boolean counts = ranThere && afterDrain > DRAIN_MS && sentAt.get(request) - startedAt > IN_TOUCH_MS;
            if (counts) late++;
            if (counts && !ends.get(request).equals("200")) {
                lost++;
                record.line("%s ran at %s, sent %d ms after it reported draining, and ended with: %s", request, LEAVER, afterDrain, ends.get(request));
            }
        }
        record.line("orders sent: %d; run by %s later than %d ms after its report: %d; of these, run without an answer: %d",
            sentAt.size(), LEAVER, DRAIN_MS, late, lost);
        if (sentAt.size() < 50) return 2;
        return late > 0 ? 1 : 0;
    }

    private static void client(int client, int front, long until, ConcurrentHashMap<String, Long> sentAt, ConcurrentHashMap<String, String> ends)
        throws Exception {
        for (int number = 0; Store.now() < until;) {
            try (Http.Connection connection = new Http.Connection(front, 5_000)) {
                while (Store.now() < until) {
                    String request = "order" + client + "-" + number++;
                    sentAt.put(request, Store.now());
                    ends.put(request, "closed without an answer");
                    connection.send("POST", "/orders/x", "Release the job", Deployment.headers(request, 1_500));
                    Http.Message answer = connection.receive();
                    if (answer == null) break;
                    ends.put(request, Integer.toString(answer.status()));
                    Thread.sleep(40);
                    if ("close".equalsIgnoreCase(answer.headers.get("Connection"))) break;
                }
            } catch (java.io.IOException cut) {
                Thread.sleep(100);
            }
        }
    }
}
