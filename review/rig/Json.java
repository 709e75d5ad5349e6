import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Objects are maps, arrays are lists, numbers are longs or doubles. Stateless. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        return reader.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String write(Object value) {
        return switch (value) {
            case null -> "null";
            case Map<?, ?> map -> {
                StringBuilder result = new StringBuilder("{");
                map.forEach((key, item) -> result.append(result.length() > 1 ? "," : "")
                        .append(quote(String.valueOf(key)))
                        .append(':')
                        .append(write(item)));
                yield result.append('}').toString();
            }
            case List<?> list -> {
                StringBuilder result = new StringBuilder("[");
                list.forEach(item ->
                        result.append(result.length() > 1 ? "," : "").append(write(item)));
                yield result.append(']').toString();
            }
            case String string -> quote(string);
            default -> value.toString();
        };
    }

    private static String quote(String value) {
        StringBuilder result = new StringBuilder("\"");
        for (char next : value.toCharArray()) {
            switch (next) {
                case '"' -> result.append("\\\"");
                case '\\' -> result.append("\\\\");
                case '\n' -> result.append("\\n");
                default -> result.append(next);
            }
        }
        return result.append('"').toString();
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(position))) {
            position++;
        }
        return text.charAt(position);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            return object();
        }
        if (first == '[') {
            return array();
        }
        if (first == '"') {
            return string();
        }
        int start = position;
        while (position < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> result = new LinkedHashMap<>();
        position++;
        while (next() != '}') {
            String key = string();
            next();
            position++;
            result.put(key, value());
            if (next() == ',') {
                position++;
            }
        }
        position++;
        return result;
    }

    private List<Object> array() {
        List<Object> result = new ArrayList<>();
        position++;
        while (next() != ']') {
            result.add(value());
            if (next() == ',') {
                position++;
            }
        }
        position++;
        return result;
    }

    private String string() {
        next();
        position++;
        StringBuilder result = new StringBuilder();
        while (text.charAt(position) != '"') {
            char letter = text.charAt(position++);
            if (letter == '\\') {
                letter = text.charAt(position++);
                letter = letter == 'n' ? '\n' : letter == 't' ? '\t' : letter;
                if (letter == 'u') {
                    letter = (char) Integer.parseInt(text.substring(position, position + 4), 16);
                    position += 4;
                }
            }
            result.append(letter);
        }
        position++;
        return result.toString();
    }
}
