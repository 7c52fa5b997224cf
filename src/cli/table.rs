//! Text tables with aligned columns.

/// Renders a table. Each column is as wide as its widest cell, and columns are separated by two spaces.
pub fn render<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let header = header.map(str::to_owned);
    let lines = || std::iter::once(&header).chain(rows);
    let widths: [usize; N] =
        std::array::from_fn(|column| lines().map(|row| row[column].chars().count()).max().unwrap_or(0));
    let line = |row: &[String; N]| {
        let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    lines().map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against columns that are misaligned after long or non-ASCII cells.
    #[test]
    fn columns_are_aligned() {
        let rows = [["entry-1".into(), "1".into()], ["é".into(), "22".into()]];
        assert_eq!(render(["VM", "CELLS"], &rows), "VM       CELLS\nentry-1  1\né        22\n");
    }
}
