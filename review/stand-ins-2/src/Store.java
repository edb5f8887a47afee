import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's metadata store: rows, transactions under conditions, and the feed of changes. */
final class Store {
    private record Row(String table, String key, String value, long version) {}

    private static final Pattern OBJECT = Pattern.compile("\\{[^{}]*\\}");
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;

    /** Called before each call is answered, with the address of the caller; may wait, or throw to drop the call. */
    interface Gate {
        /** Returns a status to refuse with, or 0. */
        int pass(String caller, String method, String target) throws Exception;
    }

    volatile Gate gate = (caller, method, target) -> 0;
    final int port;

    Store(String address) throws Exception {
        port = Http.listen(address, 0, this::handle).port;
    }

    synchronized long put(String table, String key, String text) {
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        apply(new Row(table, key, value, ++version));
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        apply(new Row(table, key, null, ++version));
        notifyAll();
    }

    private void apply(Row row) {
        TreeMap<String, Row> rows = tables.computeIfAbsent(row.table, t -> new TreeMap<>());
        if (row.value == null) rows.remove(row.key);
        else rows.put(row.key, row);
        history.add(row);
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String target = request.target();
        int refusal = gate.pass(socket.getInetAddress().getHostAddress(), request.method(), target);
        if (refusal != 0) {
            Http.respond(out, refusal, Http.fields(), new byte[0]);
            return true;
        }
        Map<String, String> query = query(target);
        if (target.startsWith("/api/rows-get")) answer(out, 200, get(query));
        else if (target.startsWith("/api/rows-feed")) answer(out, 200, feed(query));
        else if (target.startsWith("/api/rows-tx")) transact(new String(request.body, StandardCharsets.UTF_8), out);
        else answer(out, 404, "{}");
        return true;
    }

    private static void answer(OutputStream out, int status, String body) throws Exception {
        Http.respond(out, status, Http.fields("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        if (start < 0) return query;
        for (String pair : target.substring(start + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], java.net.URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized String get(Map<String, String> query) {
        TreeMap<String, Row> rows = tables.getOrDefault(query.get("table"), new TreeMap<>());
        List<Row> found = new ArrayList<>(rows.tailMap(query.getOrDefault("from", ""), true).values());
        return rows(found);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("afterRev"));
        long end = Record.now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            Map<String, Row> changed = new java.util.LinkedHashMap<>();
            for (Row row : history) {
                if (row.table.equals(query.get("table")) && row.version > after) {
                    changed.remove(row.key);
                    changed.put(row.key, row);
                }
            }
            long left = end - Record.now();
            if (!changed.isEmpty() || left <= 0) return rows(new ArrayList<>(changed.values()));
            wait(left);
        }
    }

    private String rows(List<Row> rows) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (Row row : rows) {
            if (text.charAt(text.length() - 1) != '[') text.append(',');
            text.append("{\"table\":\"" + row.table + "\",\"part\":\"\",\"key\":\"" + row.key + "\",\"ver\":" + row.version);
            text.append(row.value == null ? ",\"removed\":true}" : ",\"value\":\"" + row.value + "\"}");
        }
        return text.append("],\"hasMore\":false,\"ver\":" + version + ",\"nowMs\":" + Record.now() + "}").toString();
    }

    private synchronized void transact(String body, OutputStream out) throws Exception {
        List<String> expected = objects(body, "expectedRev");
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (String entry : expected) {
            Row row = tables.getOrDefault(text(entry, "table"), new TreeMap<>()).get(text(entry, "key"));
            if (row != null) current.add(row);
            holds &= Long.parseLong(number(entry, "ver")) == (row == null ? 0 : row.version);
        }
        if (!holds) {
            answer(out, 412, rows(current));
            return;
        }
        version++;
        for (String entry : objects(body, "put")) {
            apply(new Row(text(entry, "table"), text(entry, "key"), text(entry, "value"), version));
        }
        for (String entry : objects(body, "remove")) apply(new Row(text(entry, "table"), text(entry, "key"), null, version));
        notifyAll();
        answer(out, 200, "{\"ver\":" + version + ",\"nowMs\":" + Record.now() + "}");
    }

    private static List<String> objects(String body, String name) {
        List<String> found = new ArrayList<>();
        int start = body.indexOf("\"" + name + "\":[");
        if (start < 0) return found;
        Matcher matcher = OBJECT.matcher(body.substring(start, body.indexOf(']', start)));
        while (matcher.find()) found.add(matcher.group());
        return found;
    }

    private static String text(String object, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(object);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static String number(String object, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(object);
        return matcher.find() ? matcher.group(1) : "0";
    }
}
