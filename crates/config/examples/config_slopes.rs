//! Prints how the costs of a config document grow with the number of adapters:
//! `cargo run --release -p config --example config_slopes`.

use std::time::Instant;

use config::{
    Document,
    change::{diff, json_chunks},
    document,
};

/// The measured numbers of adapters.
const ADAPTER_COUNTS: [usize; 4] = [3_000, 23_000, 46_000, 92_000];

/// The number of changes that are applied one after the other.
const CHANGE_COUNT: usize = 1_000;

/// The size of a memory page.
const PAGE_BYTES: usize = 4096;

fn main() {
    println!("adapters  parse_ms  memory_kb  adopt_us  copied  change_bytes  text_bytes");
    for adapter_count in ADAPTER_COUNTS {
        print_row(adapter_count);
    }
}

/// Measures a document with `adapter_count` adapters and prints the results.
fn print_row(adapter_count: usize) {
    let memory_before = resident_bytes();
    let source = to_yaml(adapter_count, 0);
    let start = Instant::now();
    let document = parse(&source);
    let parse_time = start.elapsed();
    let memory_bytes = resident_bytes().saturating_sub(memory_before);
    let updated_document = parse(&to_yaml(adapter_count, CHANGE_COUNT));
    let changes = diff(&document, &updated_document);
    let start = Instant::now();
    let mut current = document.clone();
    for change in &changes {
        // Keeps a copy of the document, so that the change has to copy the shard.
        let copy = current.clone();
        current.apply(change).expect("the change applies");
        drop(copy);
    }
    let apply_time = start.elapsed() / u32::try_from(changes.len()).unwrap_or(1);
    let document_with_one_change = document
        .with_changes(&changes[..1])
        .expect("the change applies");
    let change_bytes = json_chunks(&changes[..1], usize::MAX)[0].len();
    let document_bytes: usize = json_chunks(&diff(&Document::default(), &document), usize::MAX)
        .iter()
        .map(Vec::len)
        .sum();
    println!(
        "{adapter_count:8}  {:8}  {:9}  {:8.1}  {:6}  {change_bytes:12}  {document_bytes:10}",
        parse_time.as_millis(),
        memory_bytes / 1024,
        apply_time.as_secs_f64() * 1e6,
        document_with_one_change.unshared_entry_count(&document),
    );
}

/// Returns a YAML document in which the first `updated_count` adapters have a second version.
fn to_yaml(adapter_count: usize, updated_count: usize) -> String {
    let head =
        "models: {m: {}}\nservices:\n  signs:\n    kind: model\n    model: m\n    adapters:\n";
    let adapter_line = |it| {
        let versions = if it < updated_count { "1, 2" } else { "1" };
        format!("      bay-summary-{it}: [{versions}]\n")
    };
    let adapter_lines: Vec<String> = (0..adapter_count).map(adapter_line).collect();
    format!("{head}{}", adapter_lines.concat())
}

fn parse(yaml: &str) -> Document {
    document::parse("slopes", yaml.as_bytes()).expect("the document is valid")
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
