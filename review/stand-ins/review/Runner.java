package review;

import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A runner of a plain service (domain null) or of models; it follows the pages on runners, orders and discovery. */
final class Runner {
    private static final long HEARTBEAT_MS = 1_200;
    static final int JOIN_MS = 200;
    static final int FORM_MS = 300;
    static final int EVENT_MS = 52;
    private static final int STALL_MS = 5_000;
    private static final int LOAD_MS = 16_000;
    private static final int WARM_MS = 1_600;

    final String id;
    private final String service;
    private final String zone;
    private final String domain;
    private final Store store;
    private final Record record;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> preempted = new ConcurrentHashMap<>();
    private final long born = System.currentTimeMillis();

    /** How long a request of the plain service takes. */
    volatile int workMs = 20;
    /** Whether the runner is partitioned from the store, while requests, orders and reports still reach it. */
    volatile boolean cutFromStore;
    volatile boolean draining;
    private volatile long coldUntil;
    private volatile boolean ended;
    private final java.util.concurrent.atomic.AtomicInteger working = new java.util.concurrent.atomic.AtomicInteger();

    private long sequence;
    private String model;
    private final List<String> staged = new ArrayList<>();
    private long highestEpoch;
    /** The model that is being loaded onto the host, and when it will be there. */
    private String staging;
    private volatile long stagedAt;
    /** The model of the last group since the start. */
    private String lastModel;

    static final class Membership {
        final String group;
        final long epoch;
        final List<String> members;
        final int rank;
        final long readyAt;
        long openAt = Long.MAX_VALUE;
        boolean broken;

        Membership(String group, long epoch, List<String> members, int rank, long readyAt) {
            this.group = group;
            this.epoch = epoch;
            this.members = members;
            this.rank = rank;
            this.readyAt = readyAt;
        }

        String state() {
            if (broken) return "broken";
            if (Store.now() < readyAt) return "joining";
            return Store.now() >= openAt ? "open" : "ready";
        }
    }

    private Membership membership;

    Runner(String id, String service, String zone, String domain, Store store, Record record) throws Exception {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.domain = domain;
        this.store = store;
        this.record = record;
        this.server = Http.serve(this::handle);
        Http.thread("heartbeat-" + id, () -> {
            while (!ended) {
                register();
                Thread.sleep(HEARTBEAT_MS);
            }
        });
    }

    synchronized Membership membership() {
        return membership;
    }

    private void register() {
        if (cutFromStore || ended) return;
        Map<String, Object> entry;
        synchronized (this) {
            entry = report();
            entry.put("service", service);
            entry.put("address", "127.0.0.1:" + server.getLocalPort());
            entry.put("zone", zone);
            entry.put("version", "v1");
            entry.put("slots", domain == null ? 6 : 18);
            entry.put("state", draining ? "draining" : "ready");
            entry.put("coldLeftMs", Math.max(0, coldUntil - Store.now()));
        }
        store.heartbeat(id, entry);
    }

    private synchronized Map<String, Object> report() {
        Map<String, Object> report = Json.map("born", born, "stage", "unified", "sequence", sequence, "pace", 1.0);
        if (domain == null) return report;
        report.put("domain", domain);
        report.put("models", model == null ? List.of() : List.of(Json.map("name", model, "version", 1, "adapters", List.of())));
        report.put("staged", new ArrayList<>(staged));
        report.put("group", membership == null ? null
            : Json.map("name", membership.group, "epoch", membership.epoch, "rank", membership.rank, "state", membership.state()));
        return report;
    }

    /** Announces that the runner leaves; it goes on serving for a while. */
    void drain() {
        draining = true;
        register();
        record.line("runner %s reports draining", id);
    }

    /** Exits after it has drained, while it is at work: what is under way is cut, and its entry is removed. */
    void exit() throws Exception {
        for (int i = 0; i < 200 && working.get() == 0; i++) Thread.sleep(1);
        ended = true;
        server.close();
        for (Socket socket : open) socket.close();
        store.leave(id);
        record.line("runner %s exits", id);
    }

    /** Turns cold, as a runner may at any moment. */
    void turnCold(long ms) {
        coldUntil = Store.now() + ms;
        register();
        record.line("runner %s is cold for %d ms", id, ms);
    }

    /** Crashes: all connections end, and the runner sends nothing more. */
    void crash() throws Exception {
        ended = true;
        server.close();
        for (Socket socket : open) {
            if (socket.isClosed()) continue;
            socket.setSoLinger(true, 0);
            socket.close();
        }
        record.line("runner %s crashed", id);
    }

    /** Partitions the runner from the store, right after a heartbeat; requests, reports and orders still reach it. */
    void cut() {
        register();
        cutFromStore = true;
        record.line("runner %s is partitioned from the store; requests, reports and orders reach it", id);
    }

    void heal() {
        cutFromStore = false;
        register();
        record.line("runner %s reaches the store again", id);
    }

    private void handle(Http.Message request, Http.Exchange exchange) throws Exception {
        open.removeIf(Socket::isClosed);
        open.add(exchange.socket);
        String requestId = request.headers.getOrDefault("Request-Id", "");
        String echo = "Request-Id: " + requestId;
        String expected = request.headers.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            exchange.respond(421, new byte[0], echo, "Not-Executed: 1", "At-Server: " + id);
        } else if (request.path().equals("/api/report")) {
            exchange.respond(200, report());
        } else if (request.path().equals("/api/order")) {
            order(request, exchange);
        } else if (request.path().equals("/health")) {
            exchange.respond(draining ? 503 : 200, new byte[0], "Instance-Id: " + id);
        } else if (domain == null) {
            runPlain(requestId, echo, exchange);
        } else if (!serves()) {
            exchange.respond(421, new byte[0], echo, "Not-Executed: 1", "At-Server: " + id);
        } else {
            runStream(request, requestId, echo, exchange);
        }
    }

    private synchronized boolean serves() {
        return membership != null && membership.rank == 0 && membership.state().equals("open");
    }

    private void runPlain(String requestId, String echo, Http.Exchange exchange) throws Exception {
        record.ran(id, requestId);
        working.incrementAndGet();
        Thread.sleep(workMs);
        working.decrementAndGet();
        exchange.respond(200, ("done " + requestId).getBytes(), echo, "Response-Signature: " + id + "." + requestId);
    }

    private void runStream(Http.Message request, String requestId, String echo, Http.Exchange exchange) throws Exception {
        record.ran(id, requestId);
        int tokens = Integer.parseInt(request.headers.get("Token-Usage").split(",")[1].trim());
        String last = request.headers.get("Last-Event-Id");
        Thread.sleep(120);
        exchange.start(200, echo, "Response-Signature: " + id + "." + requestId, "Content-Type: text/event-stream");
        for (int event = last == null ? 0 : Integer.parseInt(last) + 1; event < tokens / 5; event++) {
            if (!awaitMembers()) {
                exchange.socket.close();
                return;
            }
            awaitMemory(requestId);
            exchange.chunk("id: " + event + "\ndata: piece-" + event + "\n\n");
            Thread.sleep(EVENT_MS);
        }
        exchange.end();
    }

    /** Preempts a request for want of memory, in the middle of its stream: it waits, and goes on after it was read again. */
    void preempt(String requestId, long ms) {
        preempted.put(requestId, Store.now() + ms);
        record.line("runner %s has no memory left: %s is preempted for %d ms", id, requestId, ms);
    }

    private void awaitMemory(String requestId) throws InterruptedException {
        Long until = preempted.get(requestId);
        if (until == null) return;
        Thread.sleep(Math.max(0, until - Store.now()));
        if (preempted.remove(requestId) != null) record.line("runner %s goes on with %s", id, requestId);
    }

    /** Nothing moves while a member is missing; after [STALL_MS] the group is broken. Returns whether the work goes on. */
    private boolean awaitMembers() throws Exception {
        Membership mine = membership();
        if (mine == null) return false;
        for (long until = Store.now() + STALL_MS; !isWhole(mine); Thread.sleep(10)) {
            if (ended || membership() != mine) return false;
            if (Store.now() < until) continue;
            synchronized (this) {
                mine.broken = true;
            }
            record.line("group %s of head %s is broken", mine.group, id);
            register();
            return false;
        }
        return membership() == mine;
    }

    private boolean isWhole(Membership mine) {
        for (String member : mine.members) {
            Runner runner = record.runner(member);
            Membership of = runner == null || runner.ended ? null : runner.membership();
            if (of == null || !of.group.equals(mine.group) || of.epoch != mine.epoch) return false;
        }
        return true;
    }

    private void order(Http.Message request, Http.Exchange exchange) throws Exception {
        Map<String, Object> order = Json.object(request.text());
        int status;
        synchronized (this) {
            status = apply(order);
            if (status == 202) sequence++;
        }
        record.line("runner %s got %s, answered %d, is now in %s", id, request.text(), status, describe());
        exchange.respond(status, new byte[0]);
        register();
        for (long delay : new long[] {JOIN_MS + 5, FORM_MS + 5, WARM_MS + 5}) {
            Http.thread("later", () -> {
                Thread.sleep(delay);
                register();
            });
        }
    }

    synchronized String describe() {
        return membership == null ? "no group" : membership.group + " (" + membership.state() + ", rank " + membership.rank + ")";
    }

    /** Before the first request, a load takes a tenth of its time. */
    private long loadMs() {
        return record.hasTraffic() ? LOAD_MS : LOAD_MS / 10;
    }

    private synchronized void endStaging() {
        if (staging == null || Store.now() < stagedAt) return;
        staged.clear();
        staged.add(staging);
        staging = null;
    }

    @SuppressWarnings("unchecked")
    private int apply(Map<String, Object> order) {
        String op = (String) order.get("op");
        String group = (String) order.get("group");
        long epoch = order.containsKey("epoch") ? (Long) order.get("epoch") : 0;
        boolean isMine = membership != null && membership.group.equals(group) && membership.epoch == epoch;
        switch (op) {
            case "join": {
                if (epoch < highestEpoch) return 412;
                List<String> members = new ArrayList<>();
                for (Object member : (List<Object>) order.get("members")) members.add((String) member);
                if (isMine) return membership.members.equals(members) ? 200 : 412;
                highestEpoch = epoch;
                String wanted = (String) order.get("model");
                long loaded = wanted.equals(staging) ? Math.max(0, stagedAt - Store.now()) + WARM_MS : loadMs();
                long takes = wanted.equals(lastModel) ? JOIN_MS : staged.contains(wanted) ? WARM_MS : loaded;
                staging = null;
                record.joined(this, membership, group);
                model = wanted;
                lastModel = wanted;
                staged.clear();
                staged.add(wanted);
                membership = new Membership(group, epoch, members, members.indexOf(id), Store.now() + takes);
                return 202;
            }
            case "open":
                if (!isMine || membership.rank != 0 || membership.state().equals("joining")) return 409;
                if (membership.openAt != Long.MAX_VALUE) return 200;
                membership.openAt = Store.now() + FORM_MS;
                return 202;
            case "close":
                if (!isMine) return 200;
                membership.openAt = Long.MAX_VALUE;
                return 202;
            case "leave":
                // The state that the order asks for holds already if the runner is in another group or in none.
                if (!isMine) return 200;
                membership = null;
                return 202;
            case "stage":
                if (staged.contains((String) order.get("model"))) return 200;
                staging = (String) order.get("model");
                stagedAt = Store.now() + loadMs();
                Http.thread("load", () -> {
                    Thread.sleep(Math.max(0, stagedAt - Store.now()));
                    endStaging();
                    register();
                });
                return 202;
            default:
                return 400;
        }
    }
}
