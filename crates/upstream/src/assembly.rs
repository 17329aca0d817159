//! Assembles a streamed response from events that may arrive late, repeated, out of order, and over
//! several connections. Does no I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use kernel::{
    fault::{Fault, Kind},
    reference::Loaded,
};

use crate::{
    chunk::{Choice, Chunk, Finish},
    sse::Event,
};

/// Number of resumes without a new chunk in between after which a stream fails, unless it broke off
/// less than [`MIN_RESUME_TIME`] ago.
pub const MAX_RESUMES: u32 = 4;
/// Time for which a stream that has begun is resumed at least. Nothing else can complete it, and its
/// engine may be out of reach for a moment. A request that has not begun may be retried elsewhere.
pub const MIN_RESUME_TIME: Duration = Duration::from_secs(2);
/// Largest total size of the chunks that wait for an earlier one.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Data of the event that ends a response.
const DONE: &str = "[DONE]";

/// The next step of the reader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Deliver this chunk.
    Chunk {
        /// Index of the chunk in the response, starting at 0.
        index: u64,
        /// The unmodified JSON of the engine.
        json: String,
    },
    /// Read more events.
    ReadMore,
    /// Request the stream again from this chunk on. Only [`Assembly::handle_disconnect`] returns
    /// this step.
    Resume {
        /// Index of the first missing chunk.
        from: u64,
    },
    /// The response is complete.
    End,
    /// The response cannot be completed.
    Failed(Fault),
}

/// A chunk that has been received but not delivered.
#[derive(Clone, Debug)]
struct BufferedChunk {
    json: String,
    choices: Vec<Choice>,
}

/// The state of one response.
#[derive(Clone, Debug)]
pub struct Assembly {
    expected_model: String,
    deadline: Instant,
    next_index: u64,
    buffered: BTreeMap<u64, BufferedChunk>,
    buffered_bytes: usize,
    unfinished_choices: BTreeSet<u32>,
    finished_choices: BTreeSet<u32>,
    end_received: bool,
    /// Number of resumes since the last delivered chunk.
    resumes: u32,
    /// When the stream broke off for the first time since the last delivered chunk.
    broken_at: Option<Instant>,
    failed: Option<Fault>,
}

impl Assembly {
    /// Creates the state of a response of which nothing has been received.
    pub fn new(loaded: &Loaded, deadline: Instant) -> Self {
        Self {
            expected_model: loaded.to_string(),
            deadline,
            next_index: 0,
            buffered: BTreeMap::new(),
            buffered_bytes: 0,
            unfinished_choices: BTreeSet::new(),
            finished_choices: BTreeSet::new(),
            end_received: false,
            resumes: 0,
            broken_at: None,
            failed: None,
        }
    }

    /// Adds one event. A chunk that names another adapter fails the response and is not delivered.
    pub fn push(&mut self, event: Event) {
        if self.failed.is_some() {
            return;
        }
        self.failed = self.process(event).err();
    }

    /// Fails the response because the connection delivers something other than events.
    pub fn reject(&mut self, reason: &str) {
        let detail = format!("the engine's answer can't be read: {reason}");
        let fault = Fault::new(Kind::BadAnswer, detail);
        self.failed.get_or_insert(fault);
    }

    /// Fails the response because the rest of it is no longer available.
    pub fn abandon(&mut self, reason: &str) {
        let detail = format!(
            "the answer broke off at chunk {}: {reason}",
            self.next_index
        );
        let fault = Fault::new(Kind::UpstreamLost, detail);
        self.failed.get_or_insert(fault);
    }

    /// Returns the step that follows from the events so far.
    pub fn next_step(&mut self) -> Step {
        if let Some(chunk) = self.buffered.remove(&self.next_index) {
            return self.deliver(chunk);
        }
        if let Some(fault) = &self.failed {
            return Step::Failed(fault.clone());
        }
        if self.is_complete() {
            return Step::End;
        }
        Step::ReadMore
    }

    /// Returns the step after the connection has broken or ended. Must be called only when
    /// [`Self::next_step`] returns [`Step::ReadMore`].
    pub fn handle_disconnect(&mut self, now: Instant, reason: &str) -> Step {
        if now >= self.deadline {
            let detail = format!(
                "the deadline passed at chunk {} of the answer",
                self.next_index
            );
            return self.fail(Kind::DeadlineAfterStart, detail);
        }
        let broken_at = *self.broken_at.get_or_insert(now);
        let is_recent = self.next_index > 0 && now < broken_at + MIN_RESUME_TIME;
        if self.resumes >= MAX_RESUMES && !is_recent {
            let detail = format!(
                "the answer broke off at chunk {}: {reason}",
                self.next_index
            );
            return self.fail(Kind::UpstreamLost, detail);
        }
        self.resumes += 1;
        // The engine sends the later chunks and the end marker again.
        self.buffered.clear();
        self.buffered_bytes = 0;
        self.end_received = false;
        Step::Resume {
            from: self.next_index,
        }
    }

    fn fail(&mut self, kind: Kind, detail: String) -> Step {
        let fault = Fault::new(kind, detail);
        self.failed = Some(fault.clone());
        Step::Failed(fault)
    }

    fn is_complete(&self) -> bool {
        self.end_received
            && self.buffered.is_empty()
            && self.unfinished_choices.is_empty()
            && !self.finished_choices.is_empty()
    }

    fn process(&mut self, event: Event) -> Result<(), Fault> {
        if event.data == DONE {
            self.end_received = true;
            return Ok(());
        }
        if event.name == "error" {
            let detail = format!("the engine broke off the answer: {}", event.data);
            return Err(Fault::new(Kind::UpstreamLost, detail));
        }
        let index = parse_index(&event)?;
        let chunk = parse_chunk(&event.data)?;
        if chunk.model.as_deref() != Some(&*self.expected_model) {
            let actual = chunk.model.as_deref().unwrap_or("no name");
            let detail = format!(
                "the engine answered for {actual} in place of {}",
                self.expected_model
            );
            return Err(Fault::new(Kind::WrongAdapter, detail));
        }
        let choices = chunk.choices;
        let json = event.data;
        self.buffer(index, BufferedChunk { json, choices })
    }

    fn buffer(&mut self, index: u64, chunk: BufferedChunk) -> Result<(), Fault> {
        if index < self.next_index || self.buffered.contains_key(&index) {
            return Ok(());
        }
        self.buffered_bytes += chunk.json.len();
        if self.buffered_bytes > MAX_BUFFERED_BYTES && index != self.next_index {
            let detail = format!(
                "chunk {} is missing while later ones pile up",
                self.next_index
            );
            return Err(Fault::new(Kind::UpstreamLost, detail));
        }
        self.buffered.insert(index, chunk);
        Ok(())
    }

    fn deliver(&mut self, chunk: BufferedChunk) -> Step {
        let BufferedChunk { json, choices } = chunk;
        let index = self.next_index;
        self.next_index += 1;
        self.resumes = 0;
        self.broken_at = None;
        self.buffered_bytes -= json.len();
        for choice in choices {
            self.record_choice(choice);
        }
        Step::Chunk { index, json }
    }

    fn record_choice(&mut self, choice: Choice) {
        match choice.finish {
            Finish::Finished => {
                self.unfinished_choices.remove(&choice.index);
                self.finished_choices.insert(choice.index);
            }
            Finish::Unfinished if self.finished_choices.contains(&choice.index) => {}
            Finish::Unfinished => {
                self.unfinished_choices.insert(choice.index);
            }
        }
    }
}

fn parse_index(event: &Event) -> Result<u64, Fault> {
    let id = event.id.as_deref().and_then(|it| it.parse().ok());
    id.ok_or_else(|| Fault::new(Kind::BadAnswer, "an event of the engine has no number"))
}

fn parse_chunk(data: &str) -> Result<Chunk<'_>, Fault> {
    serde_json::from_str(data).map_err(|error| {
        let detail = format!("an event of the engine is no chunk: {error}");
        Fault::new(Kind::BadAnswer, detail)
    })
}
