package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits a line of the prompt into words at white space; single or double quotes keep white space in a word.
 *
 * <p>Stateless and thread safe.
 */
final class CommandWords {
    private CommandWords() {}

    static Either<CommandFailure, List<String>> split(String line) {
        List<String> words = new ArrayList<>();
        StringBuilder word = new StringBuilder();
        boolean isInWord = false;
        Optional<Character> quote = Optional.empty();
        for (int position = 0; position < line.length(); position++) {
            char symbol = line.charAt(position);
            if (quote.isPresent()) {
                if (quote.get() == symbol) {
                    quote = Optional.empty();
                } else {
                    word.append(symbol);
                }
            } else if (symbol == '"' || symbol == '\'') {
                quote = Optional.of(symbol);
                isInWord = true;
            } else if (!Character.isWhitespace(symbol)) {
                word.append(symbol);
                isInWord = true;
            } else if (isInWord) {
                words.add(word.toString());
                word.setLength(0);
                isInWord = false;
            }
        }
        if (quote.isPresent()) {
            return Either.left(new CommandFailure.MalformedCommandLine("a quote is not closed: " + quote.get()));
        }
        if (isInWord) {
            words.add(word.toString());
        }
        return Either.right(List.copyOf(words));
    }
}
