//! Checks that the documented table of result codes matches the code.

use bamboo_result::Code;
use bamboo_result::ExecutionStatus;

fn row(code: Code) -> String {
    let execution_status = match code.execution_status() {
        ExecutionStatus::Executed => "ran",
        ExecutionStatus::NotExecuted => "not run",
        ExecutionStatus::Unknown => "unknown",
    };
    format!(
        "| {} | `{}` | {} | {execution_status} |",
        code.number(),
        code.name(),
        code.http_status()
    )
}

#[test]
fn documentation_lists_every_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/RESULT-CODES.md");
    let page = std::fs::read_to_string(path).expect("docs/RESULT-CODES.md");
    let documented: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.contains('`'))
        .collect();
    for code in Code::ALL {
        let start = row(*code);
        assert!(
            documented.iter().any(|line| line.starts_with(&start)),
            "the page lacks {start}"
        );
    }
    assert_eq!(
        documented.len(),
        Code::ALL.len(),
        "the page has rows that the code does not"
    );
}

#[test]
fn numbers_and_names_are_unique() {
    let mut numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let mut names: Vec<&str> = Code::ALL.iter().map(|code| code.name()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    names.sort_unstable();
    names.dedup();
    assert_eq!(
        (numbers.len(), names.len()),
        (Code::ALL.len(), Code::ALL.len())
    );
}
