//! Prints what a text costs by its number of adapters:
//! `cargo run --release -p config --example config_slopes`.

use std::time::Instant;

use config::{
    Document,
    change::{diff, json_chunks},
    document,
};

/// Numbers of adapters.
const SIZES: [usize; 4] = [3_000, 23_000, 46_000, 92_000];

/// Changes that are made one after the other.
const CHANGES: usize = 1_000;

/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4096;

fn main() {
    println!("adapters  parse_ms  memory_kb  adopt_us  copied  change_bytes  text_bytes");
    for size in SIZES {
        row(size);
    }
}

fn row(size: usize) {
    let before = resident();
    let old = yaml(size, 0);
    let start = Instant::now();
    let text = parse(&old);
    let parsing = start.elapsed();
    let memory = resident().saturating_sub(before);
    let other = parse(&yaml(size, CHANGES));
    let changes = diff(&text, &other);
    let start = Instant::now();
    let mut state = text.clone();
    for change in &changes {
        let held = state.clone();
        state.apply(change).expect("the change fits");
        drop(held);
    }
    let adopt = start.elapsed() / u32::try_from(changes.len()).unwrap_or(1);
    let one = text.with_changes(&changes[..1]).expect("the change fits");
    let change_bytes = json_chunks(&changes[..1], usize::MAX)[0].len();
    let text_bytes: usize = json_chunks(&diff(&Document::default(), &text), usize::MAX)
        .iter()
        .map(Vec::len)
        .sum();
    println!(
        "{size:8}  {:8}  {:9}  {:8.1}  {:6}  {change_bytes:12}  {text_bytes:10}",
        parsing.as_millis(),
        memory / 1024,
        adopt.as_secs_f64() * 1e6,
        one.copied(&text),
    );
}

/// A text whose first `published` adapters have a second version.
fn yaml(size: usize, published: usize) -> String {
    let head =
        "models: {m: {}}\nservices:\n  signs:\n    kind: model\n    model: m\n    adapters:\n";
    let line = |it| {
        let versions = if it < published { "1, 2" } else { "1" };
        format!("      bay-summary-{it}: [{versions}]\n")
    };
    let lines: Vec<String> = (0..size).map(line).collect();
    format!("{head}{}", lines.concat())
}

fn parse(yaml: &str) -> Document {
    document::parse("slopes", yaml.as_bytes()).expect("the text is right")
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
