package org.oleanderturn.http;

import java.util.HexFormat;

/**
 * The syntax of the lines of a response, by RFC 9110, section 5 and RFC 9112, sections 4, 5 and 7.1.
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

    /** Returns whether a line is the size of a chunk, which extensions may follow. */
    static boolean isChunkSize(CharSequence line) {
        int end = 0;
        while (end < line.length() && HexFormat.isHexDigit(line.charAt(end))) {
            end++;
        }
        return end > 0 && isChunkExtensions(line, end);
    }

    private static boolean isChunkExtensions(CharSequence line, int start) {
        int position = start;
        while (position < line.length()) {
            int semicolon = endOfBlanks(line, position);
            int name = endOfBlanks(line, semicolon + 1);
            int nameEnd = endOfToken(line, name);
            if (!isAt(line, semicolon, ';') || nameEnd == name) {
                return false;
            }
            int equalsSign = endOfBlanks(line, nameEnd);
            if (isAt(line, equalsSign, '=')) {
                int value = endOfBlanks(line, equalsSign + 1);
                position = isAt(line, value, '"') ? endOfQuotedString(line, value) : endOfToken(line, value);
                if (position <= value) {
                    return false;
                }
            } else {
                position = nameEnd;
            }
        }
        return true;
    }

    // -- parts of a line

    private static boolean isAt(CharSequence line, int position, char expected) {
        return position < line.length() && line.charAt(position) == expected;
    }

    private static int endOfBlanks(CharSequence line, int start) {
        int end = start;
        while (isAt(line, end, ' ') || isAt(line, end, '\t')) {
            end++;
        }
        return end;
    }

    private static int endOfToken(CharSequence line, int start) {
        int end = start;
        while (end < line.length() && isTokenCharacter(line.charAt(end))) {
            end++;
        }
        return end;
    }

    /** Returns the position behind the closing quotation mark; the start if there is none. */
    private static int endOfQuotedString(CharSequence line, int start) {
        for (int position = start + 1; position < line.length(); position++) {
            char character = line.charAt(position);
            if (character == '"') {
                return position + 1;
            }
            if (character == '\\') {
                position++;
            }
            if (position == line.length() || !isTextCharacter(line.charAt(position))) {
                return start;
            }
        }
        return start;
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
