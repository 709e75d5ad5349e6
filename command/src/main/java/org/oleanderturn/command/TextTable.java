package org.oleanderturn.command;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Lines of text in aligned columns.
 *
 * <p>Invariant: each row has as many cells as there are headings. Immutable and thread safe.
 */
final class TextTable {
    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows;

    private TextTable(List<List<String>> rows) {
        this.rows = rows;
    }

    static TextTable of(String... headings) {
        return new TextTable(List.of(List.of(headings)));
    }

    /** Returns this table with one more row; the cells are written out as text. */
    TextTable with(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        if (row.size() != rows.getFirst().size()) {
            throw new IllegalArgumentException("row has another number of cells: " + row.size());
        }
        List<List<String>> longer = new ArrayList<>(rows);
        longer.add(List.copyOf(row));
        return new TextTable(List.copyOf(longer));
    }

    @Override
    public String toString() {
        int[] widths = new int[rows.getFirst().size()];
        for (List<String> row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return rows.stream().map(row -> line(row, widths)).collect(Collectors.joining(System.lineSeparator()));
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String cell = row.get(column);
            line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(COLUMN_GAP);
        }
        return line.toString().stripTrailing();
    }
}
