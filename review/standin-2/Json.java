import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON; enough for the store, which returns what was written to it. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("JSON: unexpected text at " + json.at);
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char first = text.charAt(at);
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            space();
            while (text.charAt(at) != '}') {
                space();
                String name = string();
                space();
                at++;
                map.put(name, value());
                space();
                if (text.charAt(at) == ',') at++;
                space();
            }
            at++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            space();
            while (text.charAt(at) != ']') {
                list.add(value());
                space();
                if (text.charAt(at) == ',') at++;
                space();
            }
            at++;
            return list;
        }
        if (first == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\t\r".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        try {
            return Long.parseLong(word);
        } catch (NumberFormatException error) {
            return Double.parseDouble(word);
        }
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                result.append(next);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': result.append('\n'); break;
                case 't': result.append('\t'); break;
                case 'r': result.append('\r'); break;
                case 'b': result.append('\b'); break;
                case 'f': result.append('\f'); break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: result.append(escaped);
            }
        }
        at++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        append(out, value);
        return out.toString();
    }

    private static void append(StringBuilder out, Object value) {
        if (value instanceof Map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                append(out, entry.getKey());
                out.append(':');
                append(out, entry.getValue());
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            String separator = "";
            for (Object element : (List<?>) value) {
                out.append(separator);
                append(out, element);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char character : ((String) value).toCharArray()) {
                if (character == '"' || character == '\\') out.append('\\').append(character);
                else if (character < ' ') out.append(String.format("\\u%04x", (int) character));
                else out.append(character);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
