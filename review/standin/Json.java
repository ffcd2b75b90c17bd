package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : new LinkedHashMap<>();
    }

    /** An object with the given keys and values in turn. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        if (value == null) return "null";
        if (value instanceof String) {
            return '"' + ((String) value).replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
        }
        StringBuilder out = new StringBuilder();
        if (value instanceof Map) {
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(out.length() == 0 ? "{" : ",").append(write(entry.getKey())).append(':');
                out.append(write(entry.getValue()));
            }
            return out.length() == 0 ? "{}" : out.append('}').toString();
        }
        if (value instanceof List) {
            for (Object entry : (List<?>) value) out.append(out.length() == 0 ? "[" : ",").append(write(entry));
            return out.length() == 0 ? "[]" : out.append(']').toString();
        }
        return value.toString();
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') return map();
        if (first == '[') return list();
        if (first == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default: return word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            if (text.charAt(at) == ',') at++;
            next();
            String key = string();
            next();
            at++;
            map.put(key, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
            if (text.charAt(at) == ',') at++;
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            if (escaped == 'u') {
                out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                at += 4;
            } else {
                int index = "nrtbf".indexOf(escaped);
                out.append(index < 0 ? escaped : "\n\r\t\b\f".charAt(index));
            }
        }
        at++;
        return out.toString();
    }
}
