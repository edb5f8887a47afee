package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A machine gets SIGTERM while it answers a stream. The runner's memory runs out, and the stream, its newest request, is
 * preempted for a while, as the pages allow. The runner and its group are sound and go on with older requests.
 */
public final class SilenceAfterTheStop {
    private static final int EVENTS = 67;

    /** Shorter than the gap of 2,400 ms after which the client would abandon the stream. */
    private static final int SILENCE_MS = 1_600;

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, SilenceAfterTheStop::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> zones = List.of("centro-a");
        deployment.configure(1, 2);
        Map<String, Runner> runners = new TreeMap<>();
        for (int i = 1; i <= 2; i++) runners.put("i-writer" + i, deployment.runner("i-writer" + i, "writer", "centro-a", "fabric-1"));
        deployment.start("edge-centro-a-1", "centro-a", zones);
        deployment.start("edge-centro-a-2", "centro-a", zones);
        deployment.await("both daemons are ready", 30_000, () -> deployment.isReady("edge-centro-a-1") && deployment.isReady("edge-centro-a-2"));
        Runner head = runners.get("i-writer1");
        deployment.await("the group is open", 40_000, () -> head.membership() != null && head.membership().state().equals("open"));
        Thread.sleep(3_000);

        // Older requests, which keep the memory while the newest one waits.
        List<Thread> others = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int other = i;
            others.add(Http.thread("other-" + i, () -> stream(deployment, record, "edge-centro-a-2", "older" + other, EVENTS)));
        }
        Thread.sleep(800);

        String[] end = {null};
        long[] endedAt = {0};
        Thread client = Http.thread("client", () -> {
            end[0] = stream(deployment, record, "edge-centro-a-1", "stream", EVENTS);
            endedAt[0] = Store.now();
        });
        deployment.await("the stream runs", 3_000, () -> !record.runsOf("stream").isEmpty());
        Thread.sleep(300);
        long signalledAt = Store.now();
        deployment.signal("edge-centro-a-1", "TERM");
        Thread.sleep(300);
        if (trouble) head.preempt("stream", SILENCE_MS);
        client.join(12_000);
        for (Thread other : others) other.join(9_000);
        if (end[0] == null) throw new Deployment.CannotRun("an end of the stream");
        boolean lost = !end[0].equals("whole") && endedAt[0] - signalledAt < 6_600;
        record.line("the stream ended %d ms after SIGTERM: %s%s", endedAt[0] - signalledAt, end[0], lost ? "; LOST" : "");
        return lost ? 1 : 0;
    }

    private static String stream(Deployment deployment, Record record, String daemon, String request, int events) {
        String end;
        try (Http.Connection connection = new Http.Connection(deployment.daemons.get(daemon).front, 2_400)) {
            record.line("%s is sent to %s", request, daemon);
            connection.send("POST", "/drafts/x", "Cutting list", Deployment.streamHeaders(request, events));
            Http.Message answer = connection.receive();
            if (answer == null) end = "closed without an answer";
            else end = answer.status() == 200 && Deployment.isWhole(answer.text(), events) ? "whole" : "status " + answer.status();
        } catch (java.io.IOException cut) {
            end = "the connection ended in the middle of the answer: " + cut.getMessage();
        }
        record.line("%s: %s", request, end);
        return end;
    }
}
