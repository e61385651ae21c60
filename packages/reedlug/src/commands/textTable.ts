/** Text tables for the terminal. */

/** Returns the lines of a table with aligned columns. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string[] {
  const all = [header, ...rows.map((row) => row.map(String))];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? '').length)),
  );
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
