package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class NamesTest {
    private static final Pattern SYNTAX = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final String CHARACTERS = "azm059._-AZ/ \u00e9\u0660\n";
    private static final int LONGEST = 63;

    @Test
    void shouldAcceptANameWhenItFollowsTheSyntaxOnly() {
        Random random = new Random(1);
        for (int trial = 0; trial < 20_000; trial++) {
            StringBuilder name = new StringBuilder();
            int length = random.nextInt(6);
            for (int index = 0; index < length; index++) {
                name.append(CHARACTERS.charAt(random.nextInt(CHARACTERS.length())));
            }
            assertWithMessage(name.toString())
                    .that(Names.isWellFormed(name.toString()))
                    .isEqualTo(SYNTAX.matcher(name).matches());
        }
    }

    @Test
    void shouldAcceptEveryCharacterOfTheSyntaxOnlyWhenItStandsFirstOrLater() {
        for (char character = 0; character < Character.MAX_VALUE; character++) {
            String first = String.valueOf(character);
            assertThat(Names.isWellFormed(first))
                    .isEqualTo(SYNTAX.matcher(first).matches());
            assertThat(Names.isWellFormed("a" + first))
                    .isEqualTo(SYNTAX.matcher("a" + first).matches());
        }
    }

    @Test
    void shouldRefuseANameWhenItIsTooLong() {
        assertThat(Names.isWellFormed("a".repeat(LONGEST))).isTrue();
        assertThat(Names.isWellFormed("a".repeat(LONGEST + 1))).isFalse();
    }
}
