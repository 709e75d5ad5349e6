package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits a line typed at the prompt into arguments at white space; white space within single or double quotes is kept.
 *
 * <p>Stateless and thread safe.
 */
final class LineTokenizer {
    private LineTokenizer() {}

    /** Returns the arguments in order, without quotes; fails when a quote is not closed. */
    static Either<CommandFailure, List<String>> tokenize(String line) {
        List<String> arguments = new ArrayList<>();
        StringBuilder argument = new StringBuilder();
        boolean isInArgument = false;
        Optional<Character> quote = Optional.empty();
        for (int position = 0; position < line.length(); position++) {
            char character = line.charAt(position);
            if (quote.isPresent()) {
                if (quote.get() == character) {
                    quote = Optional.empty();
                } else {
                    argument.append(character);
                }
            } else if (character == '"' || character == '\'') {
                quote = Optional.of(character);
                isInArgument = true;
            } else if (!Character.isWhitespace(character)) {
                argument.append(character);
                isInArgument = true;
            } else if (isInArgument) {
                arguments.add(argument.toString());
                argument.setLength(0);
                isInArgument = false;
            }
        }
        if (quote.isPresent()) {
            return Either.left(new CommandFailure.MalformedCommandLine("unclosed quote: " + quote.get()));
        }
        if (isInArgument) {
            arguments.add(argument.toString());
        }
        return Either.right(List.copyOf(arguments));
    }
}
