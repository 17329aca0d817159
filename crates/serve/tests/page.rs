//! The operators' page of errors against the table of kinds.

use kernel::fault::Kind;

const PAGE: &str = include_str!("../../../docs/operating/errors.md");

/// Covers that the page has a row for each kind, with its status and whether it ran, and no other.
#[test]
fn page_names_every_kind() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        let row = format!(
            "| `{}` | {} | {} |",
            answer.name, answer.status, answer.execution
        );
        let rows = PAGE.lines().filter(|it| it.starts_with(&row));
        assert_eq!(rows.count(), 1, "{row}");
    }
    let rows = PAGE.lines().filter(|it| it.starts_with("| `"));
    assert_eq!(rows.count(), Kind::ALL.len());
}
