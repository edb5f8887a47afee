package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: rows, conditional transactions and a feed; rows of runners expire after silence. */
final class Store {
    static final long RUNNER_SILENCE_MS = 3_600;
    private static final int PAGE_ROWS = 500;
    private static final int ANSWER_MS = 4;

    private static final class Row {
        final String table;
        final String key;
        /** In base64; null once it was removed. */
        final String value;
        final long ver;

        Row(String table, String key, String value, long ver) {
            this.table = table;
            this.key = key;
            this.value = value;
            this.ver = ver;
        }

        Map<String, Object> json() {
            Map<String, Object> json = Json.map("table", table, "part", "", "key", key, "ver", ver);
            json.put(value == null ? "removed" : "value", value == null ? (Object) true : value);
            return json;
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<String, Long> heartbeats = new LinkedHashMap<>();
    private long version;
    final int port;

    /** Called when a page of a table is asked for that isn't its first. */
    volatile java.util.function.Consumer<String> onNextPage = table -> { };

    /** Called once a page of a table has been read that isn't its last, before it is sent. */
    volatile java.util.function.Consumer<String> onFirstPage = table -> { };

    Store() throws Exception {
        port = Http.serve(this::handle).getLocalPort();
        Http.thread("expiry", () -> {
            while (true) {
                Thread.sleep(100);
                expire();
            }
        });
    }

    private synchronized void expire() {
        long now = now();
        for (Iterator<Map.Entry<String, Long>> it = heartbeats.entrySet().iterator(); it.hasNext();) {
            Map.Entry<String, Long> beat = it.next();
            if (now - beat.getValue() <= RUNNER_SILENCE_MS) continue;
            it.remove();
            write("servers", beat.getKey(), null);
        }
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes a row unconditionally; null removes it. */
    synchronized void write(String table, String key, String content) {
        Row previous = rows.get(table + "/" + key);
        if (content == null && (previous == null || previous.value == null)) return;
        String value = content == null ? null : Base64.getEncoder().encodeToString(content.getBytes(StandardCharsets.UTF_8));
        version++;
        rows.put(table + "/" + key, new Row(table, key, value, version));
        notifyAll();
    }

    /** A runner's heartbeat: the row changes only if more than `sequence` does. */
    synchronized void heartbeat(String runner, Map<String, Object> entry) {
        heartbeats.put(runner, now());
        Row previous = rows.get("servers/" + runner);
        String content = Json.write(entry);
        if (previous != null && previous.value != null) {
            String known = new String(Base64.getDecoder().decode(previous.value), StandardCharsets.UTF_8);
            if (known.replaceAll("\"sequence\":[0-9]+", "").equals(content.replaceAll("\"sequence\":[0-9]+", ""))) return;
        }
        write("servers", runner, content);
    }

    synchronized void leave(String runner) {
        heartbeats.remove(runner);
        write("servers", runner, null);
    }

    private void handle(Http.Message request, Http.Exchange exchange) throws Exception {
        switch (request.path()) {
            case "/api/rows-get": get(request, exchange); break;
            case "/api/rows-feed": feed(request, exchange); break;
            case "/api/rows-tx": transact(request, exchange); break;
            default: exchange.respond(404, new byte[0]);
        }
    }

    private void get(Http.Message request, Http.Exchange exchange) throws Exception {
        String table = request.query("table");
        if (!request.query("from").isEmpty()) onNextPage.accept(table);
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> page = new ArrayList<>();
            boolean more = false;
            for (Row row : rows.tailMap(table + "/" + request.query("from")).values()) {
                if (!row.table.equals(table)) break;
                if (row.value == null) continue;
                more = page.size() == PAGE_ROWS;
                if (more) break;
                page.add(row.json());
            }
            answer = Json.map("rows", page, "hasMore", more, "ver", version, "nowMs", now());
        }
        Thread.sleep(ANSWER_MS);
        if ((Boolean) answer.get("hasMore")) onFirstPage.accept(table);
        exchange.respond(200, answer);
    }

    private void feed(Http.Message request, Http.Exchange exchange) throws Exception {
        String table = request.query("table");
        long after = Long.parseLong(request.query("afterRev"));
        long deadline = now() + Long.parseLong(request.query("waitMs"));
        Map<String, Object> answer;
        synchronized (this) {
            List<Row> changed = changes(table, after);
            while (changed.isEmpty() && now() < deadline) {
                wait(Math.max(1, deadline - now()));
                changed = changes(table, after);
            }
            List<Object> json = new ArrayList<>();
            for (Row row : changed) json.add(row.json());
            answer = Json.map("rows", json, "ver", version, "nowMs", now());
        }
        exchange.respond(200, answer);
    }

    private List<Row> changes(String table, long after) {
        List<Row> changed = new ArrayList<>();
        for (Row row : rows.values()) if (row.table.equals(table) && row.ver > after) changed.add(row);
        changed.sort((a, b) -> Long.compare(a.ver, b.ver));
        return changed;
    }

    @SuppressWarnings("unchecked")
    private void transact(Http.Message request, Http.Exchange exchange) throws Exception {
        Map<String, Object> body = Json.object(request.text());
        int status = 200;
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            for (Object entry : (List<Object>) body.getOrDefault("expectedRev", List.of())) {
                Map<String, Object> expected = (Map<String, Object>) entry;
                Row row = rows.get(expected.get("table") + "/" + expected.get("key"));
                long ver = row == null || row.value == null ? 0 : row.ver;
                if (ver != (Long) expected.get("ver")) status = 412;
                if (ver != 0) current.add(row.json());
            }
            if (status == 200) {
                version++;
                for (Object entry : (List<Object>) body.getOrDefault("put", List.of())) {
                    Map<String, Object> put = (Map<String, Object>) entry;
                    apply(put, (String) put.get("value"));
                }
                for (Object entry : (List<Object>) body.getOrDefault("remove", List.of())) {
                    apply((Map<String, Object>) entry, null);
                }
                notifyAll();
            }
            answer = Json.map("rows", status == 200 ? List.of() : current, "ver", version, "nowMs", now());
        }
        exchange.respond(status, answer);
    }

    private void apply(Map<String, Object> entry, String value) {
        String table = (String) entry.get("table");
        String key = (String) entry.get("key");
        rows.put(table + "/" + key, new Row(table, key, value, version));
    }
}
