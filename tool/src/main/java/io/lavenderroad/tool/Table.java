package io.lavenderroad.tool;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Table of text with aligned columns.
 */
final class Table {

	private static final String GAP = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	Table(String... headings) {
		this.rows.add(List.of(headings));
	}

	Table row(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(String.valueOf(cell));
		}
		this.rows.add(row);
		return this;
	}

	void print(PrintStream out) {
		int columns = this.rows.getFirst().size();
		int[] widths = new int[columns];
		for (List<String> row : this.rows) {
			for (int column = 0; column < columns; column++) {
				widths[column] = Math.max(widths[column], row.get(column).length());
			}
		}
		for (List<String> row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int column = 0; column < columns; column++) {
				line.append(row.get(column)).append(" ".repeat(widths[column] - row.get(column).length())).append(GAP);
			}
			out.println(line.toString().stripTrailing());
		}
	}

}
