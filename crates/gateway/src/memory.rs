//! Memory for bodies that are read as a whole. The bodies of one kind share a budget. Once it is spent, the body that has
//! used the most memory for the longest time is given up, so that other bodies are read beside any number of those that
//! never end.

use std::{
    collections::BTreeMap,
    future::poll_fn,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use derive_more::{Display, Error};
use fleet::Time;
use hyper::body::{Body, Frame};
use tokio::sync::Notify;

use crate::clock;

/// Size up to which a body is never given up, in bytes. It is small enough for bodies of this size on all connections
/// that a host can have.
pub const SMALL_BODY_BYTES: usize = 32 << 10;

/// Size of the blocks in which a body is kept until it is whole, in bytes. A single growing buffer would be copied each
/// time that it grows, and would leave gaps in the heap.
const BLOCK_BYTES: usize = 32 << 10;

/// Time that is added to the age of each body, so that of those that have just begun, the largest is given up first.
const MIN_AGE: Duration = Duration::from_millis(10);

/// Minimum time between two log lines of a budget.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Bodies that share a budget.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Bodies of callers' requests.
    Requests,
    /// Bodies of responses of engines and other hosts.
    Responses,
    /// Bodies of responses of the store.
    Store,
}

impl Kind {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Store => "store",
        }
    }
}

/// Reason why a body was given up.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// It exceeds the limit for a single body.
    Size,
    /// The budget of its kind is spent.
    Budget,
}

impl Reason {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Budget => "budget",
        }
    }
}

/// Reason why a body could not be read as a whole.
#[derive(Debug, Display, Error)]
pub enum Failure<E> {
    /// It exceeds the limit for a single body.
    #[display("body too large")]
    TooLarge,
    /// It was given up because the budget is spent.
    #[display("no memory for the body")]
    NoMemory,
    /// The connection failed.
    #[display("{_0}")]
    Broken(#[error(not(source))] E),
}

/// Budget for the bodies of one kind.
#[derive(Clone, Debug)]
pub struct Budget {
    kind: Kind,
    /// Maximum number of bytes; more only as long as no body exceeds [`SMALL_BODY_BYTES`].
    max_bytes: usize,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of bytes in all bodies, also in those that are whole and have not been dropped.
    used: usize,
    next_id: u64,
    /// Bodies that are being read, in the order in which they began.
    partial: BTreeMap<u64, Partial>,
    given_up: BTreeMap<Reason, u64>,
    /// Time of the last log line, and number of bodies given up since.
    logged_at: Option<Time>,
    not_logged: u64,
}

/// Body of which a part has arrived.
#[derive(Debug)]
struct Partial {
    started: Time,
    blocks: Vec<Vec<u8>>,
    len: usize,
    /// Notified when the body is given up.
    given_up: Arc<Notify>,
}

impl Partial {
    fn new() -> Self {
        Self {
            started: clock::now(),
            blocks: Vec::new(),
            len: 0,
            given_up: Arc::default(),
        }
    }

    /// Length multiplied by the age, in bytes times microseconds. The body with the highest cost is given up first: one
    /// that arrives fast takes little memory from others, even if it is large.
    fn cost(&self, now: Time) -> u128 {
        let age = now.saturating_sub(self.started) + MIN_AGE;
        age.as_micros() * self.len as u128
    }

    fn append(&mut self, data: &[u8]) {
        self.len += data.len();
        match self.blocks.last_mut() {
            Some(it) if it.len() + data.len() <= BLOCK_BYTES => it.extend_from_slice(data),
            _ => self.blocks.push(data.to_vec()),
        }
    }
}

/// Body that is being read. Dropping it returns its bytes to the budget.
struct Reader<'a> {
    budget: &'a Budget,
    id: u64,
    given_up: Arc<Notify>,
}

/// Whole body. Dropping it returns its bytes to the budget.
struct Whole {
    bytes: Bytes,
    budget: Budget,
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Whole {
    fn drop(&mut self) {
        self.budget.lock().used -= self.bytes.len();
    }
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new(kind: Kind, max_bytes: usize) -> Self {
        Self {
            kind,
            max_bytes,
            state: Arc::default(),
        }
    }

    /// Kind of the bodies.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Number of bytes in use.
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Returns how many bodies were given up since the last call, by reason.
    pub fn take_given_up(&self) -> BTreeMap<Reason, u64> {
        std::mem::take(&mut self.lock().given_up)
    }

    /// Reads a whole body of at most `max_bytes`.
    pub async fn collect<B>(
        &self,
        body: &mut B,
        max_bytes: usize,
    ) -> Result<Bytes, Failure<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let reader = self.start();
        let mut len = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = reader.given_up.notified() => return Err(Failure::NoMemory),
                it = next_frame(body) => it,
            };
            let Some(frame) = frame else {
                return reader.finish().ok_or(Failure::NoMemory);
            };
            let Ok(data) = frame.map_err(Failure::Broken)?.into_data() else {
                continue;
            };
            len += data.len();
            if len > max_bytes {
                self.record_too_large();
                return Err(Failure::TooLarge);
            }
            if len == data.len() && body.is_end_stream() {
                return Ok(self.keep(data));
            }
            if !reader.append(&data) {
                return Err(Failure::NoMemory);
            }
        }
    }

    /// Records that a body was given up because it exceeds the limit for a single body.
    pub fn record_too_large(&self) {
        *self.lock().given_up.entry(Reason::Size).or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(&self) -> Reader<'_> {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        let partial = Partial::new();
        let given_up = partial.given_up.clone();
        state.partial.insert(id, partial);
        Reader {
            budget: self,
            id,
            given_up,
        }
    }

    /// Counts the bytes of a whole body until they are dropped.
    fn keep(&self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        self.lock().used += bytes.len();
        self.give_up_excess();
        Bytes::from_owner(Whole {
            bytes,
            budget: self.clone(),
        })
    }

    /// Gives up bodies that are being read, by their cost, until the others are within the budget.
    fn give_up_excess(&self) {
        let mut state = self.lock();
        let now = clock::now();
        while state.used > self.max_bytes {
            let partial = state.partial.iter();
            let large = partial.filter(|it| it.1.len > SMALL_BODY_BYTES);
            let Some((_, id)) = large.map(|it| (it.1.cost(now), *it.0)).max() else {
                return;
            };
            if let Some(it) = state.partial.remove(&id) {
                state.used -= it.len;
                it.given_up.notify_one();
                *state.given_up.entry(Reason::Budget).or_default() += 1;
                state.not_logged += 1;
                self.log(&mut state, it.len);
            }
        }
    }

    /// Logs at a limited rate that bodies were given up, the last one of them with this length.
    fn log(&self, state: &mut State, bytes: usize) {
        let now = clock::now();
        if (state.logged_at).is_some_and(|it| now < it + LOG_INTERVAL) {
            return;
        }
        state.logged_at = Some(now);
        let count = std::mem::take(&mut state.not_logged);
        let (kind, used, limit) = (self.kind.name(), state.used, self.max_bytes);
        log::warn!(
            event = "body-memory-spent", kind, count, bytes, used, limit;
            "memory for the bodies of {kind} is spent: {count} were given up, the last one after {bytes} bytes"
        );
    }
}

impl Reader<'_> {
    /// Appends bytes to the body. Returns false if the body was given up.
    fn append(&self, data: &[u8]) -> bool {
        let mut state = self.budget.lock();
        let Some(it) = state.partial.get_mut(&self.id) else {
            return false;
        };
        it.append(data);
        state.used += data.len();
        drop(state);
        self.budget.give_up_excess();
        self.budget.lock().partial.contains_key(&self.id)
    }

    /// Returns the whole body; `None` if it was given up.
    fn finish(self) -> Option<Bytes> {
        let mut state = self.budget.lock();
        let partial = state.partial.remove(&self.id)?;
        state.used -= partial.len;
        drop(state);
        Some(self.budget.keep(partial.blocks.concat().into()))
    }
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if let Some(it) = state.partial.remove(&self.id) {
            state.used -= it.len;
        }
    }
}

/// Reads the next frame of a body.
async fn next_frame<B>(body: &mut B) -> Option<Result<Frame<Bytes>, B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await
}
