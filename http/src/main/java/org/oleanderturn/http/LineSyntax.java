package org.oleanderturn.http;

/**
 * The syntax of the lines of a response, by RFC 9110, section 5 and RFC 9112, sections 4 and 5.
 *
 * <p>Stateless and thread safe.
 */
final class LineSyntax {
    private static final String PROTOCOL = "HTTP/1.";
    private static final int STATUS_START = PROTOCOL.length() + 2;
    private static final int STATUS_END = STATUS_START + 3;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;
    private static final char HIGHEST_BYTE = 0xff;

    private LineSyntax() {}

    /** Returns whether a line is a status line of HTTP/1 with a status from 100 to 599; the reason may be missing. */
    static boolean isStatusLine(CharSequence line) {
        if (line.length() < STATUS_END || !PROTOCOL.contentEquals(line.subSequence(0, PROTOCOL.length()))) {
            return false;
        }
        boolean isVersionDelimited = isDigit(line.charAt(PROTOCOL.length())) && line.charAt(STATUS_START - 1) == ' ';
        char statusClass = line.charAt(STATUS_START);
        boolean isStatus = statusClass >= '1'
                && statusClass <= '5'
                && isDigit(line.charAt(STATUS_START + 1))
                && isDigit(line.charAt(STATUS_START + 2));
        boolean isStatusDelimited = line.length() == STATUS_END || line.charAt(STATUS_END) == ' ';
        return isVersionDelimited && isStatus && isStatusDelimited && isText(line, STATUS_END);
    }

    /** Returns whether a line is a field: a name, a colon and a value, not folded. */
    static boolean isField(CharSequence line) {
        int colon = endOfToken(line, 0);
        return colon > 0 && isAt(line, colon, ':') && isText(line, colon + 1);
    }

    // -- parts of a line

    private static boolean isAt(CharSequence line, int position, char expected) {
        return position < line.length() && line.charAt(position) == expected;
    }

    private static int endOfToken(CharSequence line, int start) {
        int end = start;
        while (end < line.length() && isTokenCharacter(line.charAt(end))) {
            end++;
        }
        return end;
    }

    private static boolean isText(CharSequence line, int start) {
        for (int position = start; position < line.length(); position++) {
            if (!isTextCharacter(line.charAt(position))) {
                return false;
            }
        }
        return true;
    }

    // -- characters

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    private static boolean isTokenCharacter(char character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || isDigit(character)
                || TOKEN_SYMBOLS.indexOf(character) >= 0;
    }

    /** Returns whether a field value may contain the character: all but control characters. */
    private static boolean isTextCharacter(char character) {
        return (character >= ' ' && character != DELETE && character <= HIGHEST_BYTE) || character == '\t';
    }
}
