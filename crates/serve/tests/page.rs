//! Compares the error table in the operators' documentation with the fault kinds.

use kernel::fault::Kind;

const PAGE: &str = include_str!("../../../docs/operating/errors.md");

/// The table has exactly one row per kind, with its status and execution, and no other rows.
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
