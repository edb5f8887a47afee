package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The head of a group is partitioned from the store and loses its other member; the daemon in control forms another group
 * with it, which opens. Then that daemon gets SIGTERM, and the other one takes control.
 */
public final class HeadMovedOutOfSight {
    private static final int RUNNERS = 3;
    private static final int CUT_MS = 10_000;

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, HeadMovedOutOfSight::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> zones = List.of("centro-a");
        deployment.configure(1, 2);
        Map<String, Runner> runners = new TreeMap<>();
        for (int i = 1; i <= RUNNERS; i++) runners.put("i-writer" + i, deployment.runner("i-writer" + i, "writer", "centro-a", "fabric-1"));
        deployment.start("edge-centro-a-1", "centro-a", zones);
        deployment.start("edge-centro-a-2", "centro-a", zones);
        deployment.await("both daemons are ready", 30_000, () -> deployment.isReady("edge-centro-a-1") && deployment.isReady("edge-centro-a-2"));
        deployment.await("a group is open", 40_000, () -> openHeads(runners).size() == 1);
        Thread.sleep(3_000);
        AtomicBoolean ends = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            int client = i;
            String daemon = "edge-centro-a-" + (1 + i % 2);
            clients.add(Http.thread("client-" + i, () -> client(client, deployment, daemon, ends)));
        }
        Thread.sleep(2_000);

        Runner head = openHeads(runners).get(0);
        Runner.Membership before = head.membership();
        Runner member = runners.get(before.members.get(1));
        String controller = deployment.holder();
        record.line("%s has control; %s is the head of %s with %s", controller, head.id, before.group, member.id);
        if (trouble) {
            head.cut();
            Http.thread("heal", () -> {
                Thread.sleep(CUT_MS);
                head.heal();
            });
        }
        member.crash();
        deployment.await("the head serves in another group", 8_000, () -> {
            Runner.Membership now = head.membership();
            if (now == null || now.group.equals(before.group)) return false;
            Runner ofNow = runners.get(now.members.get(0));
            return ofNow.membership() != null && ofNow.membership().group.equals(now.group) && ofNow.membership().state().equals("open");
        });
        record.line("runner %s is in %s", head.id, head.describe());
        deployment.signal(controller, "TERM");
        Thread.sleep(CUT_MS + 2_000);
        ends.set(true);
        for (Thread client : clients) client.join(10_000);
        record.line("joins of members whose group was open: %d", record.wrongJoins.size());
        return record.wrongJoins.isEmpty() ? 0 : 1;
    }

    private static List<Runner> openHeads(Map<String, Runner> runners) {
        List<Runner> heads = new ArrayList<>();
        for (Runner runner : runners.values()) {
            Runner.Membership membership = runner.membership();
            if (membership != null && membership.rank == 0 && membership.state().equals("open")) heads.add(runner);
        }
        return heads;
    }

    private static void client(int client, Deployment deployment, String daemon, AtomicBoolean ends) throws Exception {
        int front = deployment.daemons.get(daemon).front;
        for (int number = 0; !ends.get(); number++) {
            try (Http.Connection connection = new Http.Connection(front, 9_000)) {
                connection.send("POST", "/drafts/x", "Cutting list", Deployment.streamHeaders("stream" + client + "-" + number, 20));
                connection.receive();
            } catch (java.io.IOException failed) {
                Thread.sleep(300);
            }
            Thread.sleep(50);
        }
    }
}
