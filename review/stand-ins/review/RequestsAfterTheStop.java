package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Clients keep their connections and send one stream after the other, while the machine that they are connected to gets
 * SIGTERM. No answer tells them that the connection will be closed.
 */
public final class RequestsAfterTheStop {
    private static final int CLIENTS = 12;

    /** The longest streams of the site have 67 events; at 52 ms an event one takes three and a half seconds. */
    private static final int EVENTS = 67;

    /** The clients don't begin at the same moment. */
    private static final int SPACING_MS = 80;

    /** How long a client waits between an answer and its next request. */
    private static final int PAUSE_MS = 50;

    private static final class Outcome {
        String request;
        long sentAfterMs;
        String end;
        boolean isWhole;
        boolean closeWasAnnounced;
    }

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, RequestsAfterTheStop::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> zones = List.of("centro-a");
        deployment.configure(1, 2);
        for (int i = 1; i <= 4; i++) deployment.runner("i-writer" + i, "writer", "centro-a", "fabric-1");
        deployment.runner("i-desk1", "desk", "centro-a", null);
        deployment.start("edge-centro-a-1", "centro-a", zones);
        deployment.start("edge-centro-a-2", "centro-a", zones);
        deployment.await("both daemons are ready", 30_000, () -> deployment.isReady("edge-centro-a-1") && deployment.isReady("edge-centro-a-2"));
        int front = deployment.daemons.get("edge-centro-a-1").front;
        int[] tries = {0};
        deployment.await("a first stream is served", 40_000, () -> {
            Thread.sleep(200);
            try (Http.Connection connection = new Http.Connection(front, 9_000)) {
                connection.send("POST", "/drafts/x", "first", Deployment.streamHeaders("first-" + tries[0]++, 2));
                Http.Message answer = connection.receive();
                return answer.status() == 200 && Deployment.isWhole(answer.text(), 2);
            }
        });

        List<Thread> clients = new ArrayList<>();
        List<Outcome> outcomes = new ArrayList<>();
        long[] signalledAt = {Long.MAX_VALUE};
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Http.thread("client-" + i, () -> client(client, front, record, outcomes, signalledAt)));
            Thread.sleep(SPACING_MS);
        }
        signalledAt[0] = Store.now();
        if (trouble) deployment.signal("edge-centro-a-1", "TERM");
        for (Thread client : clients) client.join(20_000);

        int lost = 0;
        for (Outcome outcome : outcomes) {
            boolean counts = outcome.sentAfterMs > 3_000 && !outcome.isWhole && !deployment.record.runsOf(outcome.request).isEmpty();
            record.line("%s, sent %d ms after the signal: %s%s", outcome.request, outcome.sentAfterMs, outcome.end, counts ? "; LOST" : "");
            if (counts) lost++;
        }
        record.line("lost: %d; answered whole: %d of %d", lost, outcomes.stream().filter(o -> o.isWhole).count(), outcomes.size());
        if (outcomes.stream().noneMatch(o -> o.sentAfterMs > 0)) return 2;
        return lost > 0 ? 1 : 0;
    }

    private static void client(int client, int front, Record record, List<Outcome> outcomes, long[] signalledAt) throws Exception {
        try (Http.Connection connection = new Http.Connection(front, 10_000)) {
            for (int number = 1; number <= 2; number++) {
                Outcome outcome = new Outcome();
                outcome.request = "stream" + client + "-" + number;
                long sentAt = Store.now();
                record.line("%s is sent on %s connection", outcome.request, number == 1 ? "a new" : "the same");
                connection.send("POST", "/drafts/x", "Cutting list, please", Deployment.streamHeaders(outcome.request, EVENTS));
                try {
                    Http.Message answer = connection.receive();
                    outcome.end = answer == null ? "closed without an answer" : "status " + answer.status();
                    outcome.isWhole = answer != null && answer.status() == 200 && Deployment.isWhole(answer.text(), EVENTS);
                    outcome.closeWasAnnounced = answer != null && "close".equalsIgnoreCase(answer.headers.get("Connection"));
                    if (outcome.isWhole) outcome.end += ", whole" + (outcome.closeWasAnnounced ? ", Connection: close" : ", without Connection: close");
                } catch (java.io.IOException cut) {
                    outcome.end = "the connection ended in the middle of the answer: " + cut.getMessage();
                }
                outcome.sentAfterMs = sentAt - signalledAt[0];
                synchronized (outcomes) {
                    outcomes.add(outcome);
                }
                record.line("%s: %s", outcome.request, outcome.end);
                if (!outcome.isWhole || outcome.closeWasAnnounced) return;
                Thread.sleep(PAUSE_MS);
            }
        }
    }
}
