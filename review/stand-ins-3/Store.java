import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's metadata store: rows, transactions, changes. Its answers are linearizable. */
final class Store {
    private static final class Row {
        final String table;
        final String key;
        final String value;
        final long version;

        Row(String table, String key, String value, long version) {
            this.table = table;
            this.key = key;
            this.value = value;
            this.version = version;
        }

        String json() {
            String start = "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key) + ",\"ver\":" + version;
            return start + (value == null ? ",\"removed\":true}" : ",\"value\":\"" + value + "\"}");
        }
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server;
    private long version;
    private volatile boolean isSilent;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
        server.setExecutor(threads);
        server.createContext("/api/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes as the operator or a runner does; the return is the acknowledgement. */
    synchronized void put(String table, String key, String content) {
        write(table, key, Base64.getEncoder().encodeToString(content.getBytes(StandardCharsets.UTF_8)), ++version);
    }

    synchronized void remove(String table, String key) {
        write(table, key, null, ++version);
    }

    private void write(String table, String key, String value, long at) {
        tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, new Row(table, key, value, at));
        notifyAll();
    }

    private long versionOf(String table, String key) {
        Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
        return row == null || row.value == null ? 0 : row.version;
    }

    /** While it is silent, the store answers nothing, and calls that it got meanwhile or that waited get no answer later. */
    void setSilent(boolean isSilent) {
        this.isSilent = isSilent;
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (isSilent) return;
        try {
            String path = exchange.getRequestURI().getPath();
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (path) {
                case "/api/rows-get": answer(exchange, 200, rows(query, 0, false)); break;
                case "/api/rows-feed": answer(exchange, 200, feed(query)); break;
                case "/api/rows-tx": transact(exchange, new String(body, StandardCharsets.UTF_8)); break;
                default: answer(exchange, 404, "{}");
            }
        } catch (Exception failure) {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> parameters = new HashMap<>();
        if (raw == null) return parameters;
        for (String part : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                parameters.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }

    private synchronized String rows(Map<String, String> query, long after, boolean withRemoved) {
        List<Row> found = new ArrayList<>();
        for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
            if (row.version <= after || (row.value == null && !withRemoved)) continue;
            if (row.key.compareTo(query.getOrDefault("from", "")) < 0) continue;
            found.add(row);
        }
        if (withRemoved) found.sort(Comparator.comparingLong(row -> row.version));
        StringBuilder json = new StringBuilder("{\"rows\":[");
        for (int i = 0; i < found.size(); i++) json.append(i == 0 ? "" : ",").append(found.get(i).json());
        long now = System.nanoTime() / 1_000_000;
        return json.append("],\"hasMore\":false,\"ver\":").append(version).append(",\"nowMs\":").append(now).append("}").toString();
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("afterRev"));
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            boolean changed = tables.getOrDefault(query.get("table"), new TreeMap<>()).values().stream().anyMatch(r -> r.version > after);
            long left = until - System.nanoTime() / 1_000_000;
            if (changed || left <= 0) return rows(query, after, true);
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(HttpExchange exchange, String body) throws IOException {
        Map<String, Object> call = Json.readObject(body);
        int status = 200;
        String answer;
        synchronized (this) {
            for (Object item : (List<Object>) call.getOrDefault("expectedRev", List.of())) {
                Map<String, Object> row = (Map<String, Object>) item;
                if (versionOf((String) row.get("table"), (String) row.get("key")) != ((Double) row.get("ver")).longValue()) status = 412;
            }
            if (status == 200) {
                long at = ++version;
                for (Object item : (List<Object>) call.getOrDefault("put", List.of())) {
                    Map<String, Object> row = (Map<String, Object>) item;
                    write((String) row.get("table"), (String) row.get("key"), (String) row.get("value"), at);
                }
                for (Object item : (List<Object>) call.getOrDefault("remove", List.of())) {
                    Map<String, Object> row = (Map<String, Object>) item;
                    write((String) row.get("table"), (String) row.get("key"), null, at);
                }
                answer = "{\"ver\":" + version + ",\"nowMs\":" + System.nanoTime() / 1_000_000 + "}";
            } else {
                StringBuilder rows = new StringBuilder();
                for (Object item : (List<Object>) call.get("expectedRev")) {
                    Map<String, Object> row = (Map<String, Object>) item;
                    Row current = tables.getOrDefault((String) row.get("table"), new TreeMap<>()).get((String) row.get("key"));
                    if (current != null && current.value != null) rows.append(rows.length() == 0 ? "" : ",").append(current.json());
                }
                answer = "{\"rows\":[" + rows + "],\"ver\":" + version + ",\"nowMs\":" + System.nanoTime() / 1_000_000 + "}";
            }
        }
        answer(exchange, status, answer);
    }

    private void answer(HttpExchange exchange, int status, String body) throws IOException {
        if (isSilent) return;
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
