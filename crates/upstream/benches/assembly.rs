//! Measures the processor time to parse, check, and order one chunk of a streamed response.
//!
//! `cargo bench -p upstream --bench assembly`

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use kernel::reference::Loaded;
use upstream::{
    assembly::{Assembly, Step},
    sse::Parser,
};

const CHUNKS: u32 = 200_000;

fn main() {
    let loaded: Loaded = "signs/bay-summary@7+31".parse().expect("the name is valid");
    let stream: String = (0..CHUNKS)
        .map(|index| format_event(&loaded, index))
        .collect();
    let start = Instant::now();
    let delivered = read_stream(&loaded, stream.as_bytes());
    let elapsed = start.elapsed();
    assert_eq!(delivered, CHUNKS);
    println!("{:?} a chunk", elapsed / CHUNKS);
}

fn format_event(loaded: &Loaded, index: u32) -> String {
    format!(
        "id: {index}\ndata: {{\"id\":\"cmpl-1\",\"object\":\"chat.completion.chunk\",\
         \"created\":1,\"model\":\"{loaded}\",\"choices\":[{{\"index\":0,\
         \"delta\":{{\"content\":\" token\"}},\"finish_reason\":null}}]}}\n\n"
    )
}

fn read_stream(loaded: &Loaded, stream: &[u8]) -> u32 {
    let mut parser = Parser::default();
    let mut assembly = Assembly::new(loaded, Instant::now() + Duration::from_mins(1));
    let mut delivered = 0;
    for part in stream.chunks(1024) {
        let mut events = Vec::new();
        parser.push(part, &mut events).expect("the stream is valid");
        for event in events {
            assembly.push(event);
        }
        while let Step::Chunk { json, .. } = assembly.next_step() {
            black_box(json);
            delivered += 1;
        }
    }
    delivered
}
