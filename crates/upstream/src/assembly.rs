//! Puts the events of a streamed answer, which may come late, repeated and out of order, and over
//! several connections, together to one whole answer. No I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use kernel::{
    fault::{Fault, Kind},
    reference::Loaded,
};

use crate::{
    chunk::{Choice, Chunk, Finish},
    sse::Event,
};

/// Breaks without a chunk in between after which a stream is given up.
pub const MAX_RESUMES: u32 = 4;
/// Bytes of chunks that may wait for an earlier one.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

const DONE: &str = "[DONE]";

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Deliver this chunk.
    Chunk {
        /// Its place in the answer, from 0.
        index: u64,
        /// The chunk as the engine wrote it.
        json: String,
    },
    /// Read more events.
    ReadMore,
    /// Ask the engine for the stream again, from this chunk on.
    Resume {
        /// The first chunk that is missing.
        from: u64,
    },
    /// The answer is whole.
    End,
    /// The answer can't be completed.
    Failed(Fault),
}

/// A chunk that has come and is not yet delivered.
#[derive(Clone, Debug)]
struct Held {
    json: String,
    choices: Vec<Choice>,
}

/// The state of one answer.
#[derive(Clone, Debug)]
pub struct Assembly {
    loaded: String,
    deadline: Instant,
    next: u64,
    early: BTreeMap<u64, Held>,
    early_bytes: usize,
    open: BTreeSet<u32>,
    finished: BTreeSet<u32>,
    done: bool,
    resumes: u32,
    failed: Option<Fault>,
}

impl Assembly {
    /// An answer of which nothing has come yet.
    pub fn new(loaded: &Loaded, deadline: Instant) -> Self {
        Self {
            loaded: loaded.to_string(),
            deadline,
            next: 0,
            early: BTreeMap::new(),
            early_bytes: 0,
            open: BTreeSet::new(),
            finished: BTreeSet::new(),
            done: false,
            resumes: 0,
            failed: None,
        }
    }

    /// Takes one event. A chunk for another name fails the answer and is withheld.
    pub fn push(&mut self, event: Event) {
        if self.failed.is_some() {
            return;
        }
        self.failed = self.admit(event).err();
    }

    /// Notes that the connection brings no events but something else.
    pub fn reject(&mut self, reason: &str) {
        let detail = format!("the engine's answer can't be read: {reason}");
        let fault = Fault::new(Kind::BadAnswer, detail);
        self.failed.get_or_insert(fault);
    }

    /// Notes that the answer can't be had any more.
    pub fn abandon(&mut self, reason: &str) {
        let detail = format!("the answer broke off at chunk {}: {reason}", self.next);
        let fault = Fault::new(Kind::UpstreamLost, detail);
        self.failed.get_or_insert(fault);
    }

    /// What to do with what has been taken.
    pub fn step(&mut self) -> Step {
        if let Some(held) = self.early.remove(&self.next) {
            return self.deliver(held);
        }
        if let Some(fault) = &self.failed {
            return Step::Failed(fault.clone());
        }
        if self.is_whole() {
            return Step::End;
        }
        Step::ReadMore
    }

    /// What to do now that the connection has broken or ended. Call it once [`Self::step`] asks
    /// for more.
    pub fn handle_disconnect(&mut self, now: Instant, reason: &str) -> Step {
        if now >= self.deadline {
            let detail = format!("the deadline passed at chunk {} of the answer", self.next);
            return self.fail(Kind::DeadlineAfterStart, detail);
        }
        if self.resumes >= MAX_RESUMES {
            let detail = format!("the answer broke off at chunk {}: {reason}", self.next);
            return self.fail(Kind::UpstreamLost, detail);
        }
        self.resumes += 1;
        // What the engine sends again need not be kept, and the end has to be seen again too.
        self.early.clear();
        self.early_bytes = 0;
        self.done = false;
        Step::Resume { from: self.next }
    }

    fn fail(&mut self, kind: Kind, detail: String) -> Step {
        let fault = Fault::new(kind, detail);
        self.failed = Some(fault.clone());
        Step::Failed(fault)
    }

    fn is_whole(&self) -> bool {
        self.done && self.early.is_empty() && self.open.is_empty() && !self.finished.is_empty()
    }

    fn admit(&mut self, event: Event) -> Result<(), Fault> {
        if event.data == DONE {
            self.done = true;
            return Ok(());
        }
        if event.name == "error" {
            let detail = format!("the engine broke off the answer: {}", event.data);
            return Err(Fault::new(Kind::UpstreamLost, detail));
        }
        let index = index(&event)?;
        let chunk = parse(&event.data)?;
        if chunk.model.as_deref() != Some(&*self.loaded) {
            let other = chunk.model.as_deref().unwrap_or("no name");
            let detail = format!(
                "the engine answered for {other} in place of {}",
                self.loaded
            );
            return Err(Fault::new(Kind::WrongAdapter, detail));
        }
        let choices = chunk.choices;
        let json = event.data;
        self.keep(index, Held { json, choices })
    }

    fn keep(&mut self, index: u64, held: Held) -> Result<(), Fault> {
        if index < self.next || self.early.contains_key(&index) {
            return Ok(());
        }
        self.early_bytes += held.json.len();
        if self.early_bytes > MAX_BUFFERED_BYTES && index != self.next {
            let detail = format!("chunk {} is missing while later ones pile up", self.next);
            return Err(Fault::new(Kind::UpstreamLost, detail));
        }
        self.early.insert(index, held);
        Ok(())
    }

    fn deliver(&mut self, held: Held) -> Step {
        let Held { json, choices } = held;
        let index = self.next;
        self.next += 1;
        self.resumes = 0;
        self.early_bytes -= json.len();
        for choice in choices {
            self.note(choice);
        }
        Step::Chunk { index, json }
    }

    fn note(&mut self, choice: Choice) {
        match choice.finish {
            Finish::Complete => {
                self.open.remove(&choice.index);
                self.finished.insert(choice.index);
            }
            Finish::Open if self.finished.contains(&choice.index) => {}
            Finish::Open => {
                self.open.insert(choice.index);
            }
        }
    }
}

fn index(event: &Event) -> Result<u64, Fault> {
    let id = event.id.as_deref().and_then(|it| it.parse().ok());
    id.ok_or_else(|| Fault::new(Kind::BadAnswer, "an event of the engine has no number"))
}

fn parse(data: &str) -> Result<Chunk<'_>, Fault> {
    serde_json::from_str(data).map_err(|error| {
        let detail = format!("an event of the engine is no chunk: {error}");
        Fault::new(Kind::BadAnswer, detail)
    })
}
