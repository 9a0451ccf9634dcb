package org.anvillatch.operator;

import java.io.PrintStream;
import java.util.List;

/**
 * Prints tables with aligned columns. Stateless and thread safe.
 */
final class TablePrinter {
    private static final String GAP = "  ";

    private TablePrinter() {}

    static void print(CommandResult.Table table, PrintStream out) {
        int[] widths = widths(table);
        out.println(table.title() + (table.rows().isEmpty() ? ": none" : ""));
        if (table.rows().isEmpty()) {
            return;
        }
        out.println(GAP + line(table.columns(), widths));
        for (List<String> row : table.rows()) {
            out.println(GAP + line(row, widths));
        }
    }

    private static int[] widths(CommandResult.Table table) {
        int[] widths = new int[table.columns().size()];
        for (int column = 0; column < widths.length; column++) {
            widths[column] = table.columns().get(column).length();
            for (List<String> row : table.rows()) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return widths;
    }

    private static String line(List<String> cells, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            line.append(cells.get(column));
            line.append(" ".repeat(widths[column] - cells.get(column).length()));
            line.append(GAP);
        }
        return line.toString().stripTrailing();
    }
}
