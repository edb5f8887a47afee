import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readObject(String text) {
        return (Map<String, Object>) read(text);
    }

    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') quoted.append('\\').append(c);
            else if (c < ' ') quoted.append(String.format("\\u%04x", (int) c));
            else quoted.append(c);
        }
        return quoted.append('"').toString();
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        switch (next()) {
            case '{': {
                Map<String, Object> fields = new LinkedHashMap<>();
                at++;
                while (next() != '}') {
                    String name = string();
                    next();
                    at++;
                    fields.put(name, value());
                    if (next() == ',') at++;
                }
                at++;
                return fields;
            }
            case '[': {
                List<Object> items = new ArrayList<>();
                at++;
                while (next() != ']') {
                    items.add(value());
                    if (next() == ',') at++;
                }
                at++;
                return items;
            }
            case '"':
                return string();
            case 't':
                at += 4;
                return true;
            case 'f':
                at += 5;
                return false;
            case 'n':
                at += 4;
                return null;
            default: {
                int from = at;
                while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
                return Double.valueOf(text.substring(from, at));
            }
        }
    }

    private String string() {
        next();
        at++;
        StringBuilder read = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                read.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': read.append('\n'); break;
                case 't': read.append('\t'); break;
                case 'r': read.append('\r'); break;
                case 'b': read.append('\b'); break;
                case 'f': read.append('\f'); break;
                case 'u':
                    read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: read.append(escaped);
            }
        }
        at++;
        return read.toString();
    }
}
