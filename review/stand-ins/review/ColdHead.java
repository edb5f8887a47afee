package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Many daemons send to one cold runner within a second; KNOWN-RED.txt, entry 7. The bounds are those of the large site. */
public final class ColdHead {
    private static final int DAEMONS = 40;
    private static final int COLD_PER_S = 14;
    private static final double BOUND = COLD_PER_S * 1.5 + 5;

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, ColdHead::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> zones = List.of("ikeja");
        deployment.coldPerS = COLD_PER_S;
        deployment.configure(1, 2);
        Runner head = deployment.runner("i-writer1", "writer", "ikeja", "fabric-1");
        deployment.runner("i-writer2", "writer", "ikeja", "fabric-1");
        for (int i = 0; i < DAEMONS; i++) {
            deployment.start("edge-ikeja-" + i, "ikeja", zones);
            Thread.sleep(150);
        }
        deployment.await("all daemons are ready", 60_000, () -> {
            for (String name : deployment.daemons.keySet()) if (!deployment.isReady(name)) return false;
            return true;
        });
        deployment.await("the group is open", 30_000, () -> head.membership() != null && head.membership().state().equals("open"));
        Thread.sleep(5_000);
        if (trouble) head.turnCold(5_000);
        Thread.sleep(2_500);
        CountDownLatch go = new CountDownLatch(1);
        List<Thread> clients = new ArrayList<>();
        for (String name : deployment.daemons.keySet()) {
            clients.add(Http.thread("client", () -> {
                try (Http.Connection connection = new Http.Connection(deployment.daemons.get(name).front, 9_000)) {
                    go.await();
                    connection.send("POST", "/drafts/x", "Brief", Deployment.streamHeaders("at-" + name, 20));
                    Http.Message answer = connection.receive();
                    record.line("at-%s: %s", name, answer == null ? "closed" : answer.status());
                }
            }));
        }
        Thread.sleep(500);
        go.countDown();
        for (Thread client : clients) client.join(10_000);
        int most = 0;
        List<Long> times = new ArrayList<>(record.runTimes);
        for (long from : times) most = Math.max(most, (int) times.stream().filter(t -> t >= from && t < from + 1_000).count());
        record.line("requests at the runner within a second: %d; bound while it is cold: %.0f", most, BOUND);
        return trouble && most > BOUND ? 1 : 0;
    }
}
