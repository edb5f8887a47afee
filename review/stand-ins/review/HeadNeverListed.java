package review;

import java.util.List;

/**
 * A spare runner is partitioned from the store. The daemon in control makes it the head of a new group, which opens; the
 * store lists the group's other member only. Then that daemon gets SIGTERM, the other one takes control, and an empty runner
 * is added.
 */
public final class HeadNeverListed {
    private static final int CUT_MS = 10_000;

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, HeadNeverListed::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> zones = List.of("centro-a");
        deployment.configure(1, 2);
        Runner head = deployment.runner("i-writer1", "writer", "centro-a", "fabric-1");
        deployment.start("edge-centro-a-1", "centro-a", zones);
        deployment.start("edge-centro-a-2", "centro-a", zones);
        deployment.await("both daemons are ready", 30_000, () -> deployment.isReady("edge-centro-a-1") && deployment.isReady("edge-centro-a-2"));
        deployment.await("the first runner holds the model as a spare", 30_000, () -> head.membership() != null && head.membership().state().equals("ready"));
        Thread.sleep(3_000);
        String controller = deployment.holder();
        record.line("%s has control", controller);

        Runner member = deployment.runner("i-writer2", "writer", "centro-a", "fabric-1");
        record.line("runner %s is added", member.id);
        if (trouble) {
            head.cut();
            Http.thread("heal", () -> {
                Thread.sleep(CUT_MS);
                head.heal();
            });
        }
        long cutAt = Store.now();
        deployment.await("the group is open", 8_000, () -> {
            Runner.Membership now = head.membership();
            return now != null && now.members.size() == 2 && now.members.get(0).equals(head.id) && now.state().equals("open");
        });
        record.line("runner %s is in %s", head.id, head.describe());
        deployment.signal(controller, "TERM");
        Thread.sleep(300);
        deployment.runner("i-writer3", "writer", "centro-a", "fabric-1");
        record.line("runner i-writer3 is added");
        Thread.sleep(Math.max(0, cutAt + CUT_MS + 3_000 - Store.now()));
        record.line("joins of members whose group was open: %d", record.wrongJoins.size());
        return record.wrongJoins.isEmpty() ? 0 : 1;
    }
}
