//! Prints JSON and tables.

use serde_json::Value;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Json,
    Table,
}

/// Prints rows under headings, each column as wide as its widest cell.
pub(crate) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headings: Vec<String> = headings
        .iter()
        .map(|heading| (*heading).to_owned())
        .collect();
    for row in std::iter::once(&headings).chain(rows) {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<String>>().join("  ").trim_end());
    }
}

/// Prints indented JSON.
pub(crate) fn print_json(value: &Value) {
    println!("{value:#}");
}

/// Formats a JSON value as a table cell: null as `-`, a string without quotes.
pub(crate) fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
