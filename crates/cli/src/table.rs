//! Formats tables for people.

/// Formats a header and rows in columns. Each column is as wide as its widest cell.
pub fn render<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let header = header.map(str::to_owned);
    let mut widths = [0; N];
    for row in std::iter::once(&header).chain(rows) {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let lines = std::iter::once(&header)
        .chain(rows)
        .map(|row| format_row(row, &widths));
    lines.collect::<Vec<_>>().join("\n")
}

/// Formats one row with padded cells.
fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}
