import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One HTTP/1.1 message. {@code start} is its first line; fields have lower-case names. */
final class Message {
    final String start;
    final Map<String, String> fields;
    final byte[] body;

    Message(String start, Map<String, String> fields, byte[] body) {
        this.start = start;
        this.fields = fields;
        this.body = body;
    }

    String path() {
        return start.split(" ")[1].split("\\?")[0];
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** Reads a message with its body, or returns null where the connection ends before it. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Map<String, String> fields = fields(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            while (true) {
                int size = Integer.parseInt(needLine(in).split(";")[0].trim(), 16);
                if (size == 0) break;
                copy(in, body, size);
                needLine(in);
            }
            while (!needLine(in).isEmpty()) {
                // Trailers are not used.
            }
        } else if (fields.containsKey("content-length")) {
            copy(in, body, Integer.parseInt(fields.get("content-length").trim()));
        }
        return new Message(start, fields, body.toByteArray());
    }

    private static Map<String, String> fields(InputStream in) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = needLine(in); !line.isEmpty(); line = needLine(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return fields;
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] part = new byte[Math.min(Math.max(size, 1), 65_536)];
        int left = size;
        while (left > 0) {
            int count = in.read(part, 0, Math.min(left, part.length));
            if (count < 0) throw new EOFException("the message ended early");
            out.write(part, 0, count);
            left -= count;
        }
    }

    private static String needLine(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new EOFException("the message ended early");
        return line;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the message ended early");
            }
            if (next == '\n') break;
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] bytes(String start, Map<String, String> fields, byte[] body) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }
}
