package review;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Writes `record.txt`: what was sent, answered and run, with the milliseconds since the start of the case. */
final class Record {
    private final PrintWriter out;
    private final long start = Store.now();
    private final Map<String, Runner> runners = new ConcurrentHashMap<>();
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

    /** Joins that the rule TWO doesn't allow. */
    final List<String> wrongJoins = new ArrayList<>();

    Record(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... values) {
        out.printf("%7d  %s%n", Store.now() - start, String.format(format, values));
    }

    void add(Runner runner) {
        runners.put(runner.id, runner);
    }

    Runner runner(String id) {
        return runners.get(id);
    }

    /** When each request began to run. */
    final List<Long> runTimes = java.util.Collections.synchronizedList(new ArrayList<>());

    void ran(String runner, String request) {
        runTimes.add(Store.now());
        runs.computeIfAbsent(request, key -> new ArrayList<>()).add(runner);
        line("runner %s runs %s", runner, request);
    }

    /** Whether any request has run. */
    boolean hasTraffic() {
        return !runs.isEmpty();
    }

    List<String> runsOf(String request) {
        return runs.getOrDefault(request, List.of());
    }

    /** Called before [runner] leaves [left] for [group] by an order to join. */
    void joined(Runner runner, Runner.Membership left, String group) {
        if (left == null || left.group.equals(group)) return;
        Runner head = runners.get(left.members.get(0));
        if (head == null) return;
        Runner.Membership ofHead = head == runner ? left : head.membership();
        if (ofHead == null || !ofHead.group.equals(left.group) || ofHead.epoch != left.epoch) return;
        if (!ofHead.state().equals("open")) return;
        String wrong = runner.id + " took a join of " + group + " while the head " + head.id + " of its group " + left.group + " was open";
        line("TWO: %s", wrong);
        synchronized (wrongJoins) {
            wrongJoins.add(wrong);
        }
    }
}
