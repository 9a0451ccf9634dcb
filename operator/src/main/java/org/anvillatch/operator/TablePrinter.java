package org.anvillatch.operator;

import java.io.PrintStream;
import java.util.List;

/**
 * Prints tables with aligned columns. Stateless and thread safe.
 */
final class TablePrinter {
    private static final String COLUMN_GAP = "  ";

    private TablePrinter() {}

    static void print(CommandResult.Table table, PrintStream out) {
        int[] widths = columnWidths(table);
        out.println(table.title() + (table.rows().isEmpty() ? ": none" : ""));
        if (table.rows().isEmpty()) {
            return;
        }
        out.println(COLUMN_GAP + formatRow(table.columns(), widths));
        for (List<String> row : table.rows()) {
            out.println(COLUMN_GAP + formatRow(row, widths));
        }
    }

    private static int[] columnWidths(CommandResult.Table table) {
        int[] widths = new int[table.columns().size()];
        for (int column = 0; column < widths.length; column++) {
            widths[column] = table.columns().get(column).length();
            for (List<String> row : table.rows()) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return widths;
    }

    private static String formatRow(List<String> cells, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            line.append(cells.get(column));
            line.append(" ".repeat(widths[column] - cells.get(column).length()));
            line.append(COLUMN_GAP);
        }
        return line.toString().stripTrailing();
    }
}
