package org.oleanderturn.command;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A table that is printed with aligned columns.
 *
 * <p>Invariant: every row has as many cells as the header. Immutable and thread safe.
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

    /**
     * Returns this table with one more row of cells, each converted to text.
     *
     * @throws IllegalArgumentException if the number of cells differs from the header's
     */
    TextTable withRow(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        if (row.size() != rows.getFirst().size()) {
            throw new IllegalArgumentException("number of cells differs from the header: " + row.size());
        }
        List<List<String>> extendedRows = new ArrayList<>(rows);
        extendedRows.add(List.copyOf(row));
        return new TextTable(List.copyOf(extendedRows));
    }

    @Override
    public String toString() {
        int[] widths = new int[rows.getFirst().size()];
        for (List<String> row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return rows.stream().map(row -> formatRow(row, widths)).collect(Collectors.joining(System.lineSeparator()));
    }

    private static String formatRow(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String cell = row.get(column);
            line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(COLUMN_GAP);
        }
        return line.toString().stripTrailing();
    }
}
