//! Messages between hosts, one per datagram.

use std::time::Duration;

use fleet::{
    listing::Name,
    origin::{BuildId, Origin},
    rendezvous::short_id,
};
use serde::{Deserialize, Serialize};

use crate::list_sync::ListState;

/// Maximum size of a datagram. The links carry at most 1,500 bytes including all headers.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Maximum number of adapters in one message, so that it usually fits into a datagram.
pub const MAX_ADAPTERS_PER_MESSAGE: usize = 24;

/// Maximum number of engines in one [`Workloads`] message, so that it fits into a datagram.
pub const MAX_WORKLOADS_PER_MESSAGE: usize = 80;

/// Maximum number of streams in one [`Message::Origins`], so that it fits into a datagram.
pub const MAX_ORIGINS_PER_MESSAGE: usize = 60;

/// Maximum number of prompt parts in one [`CrashReport`], so that it fits into a datagram.
pub const MAX_SUSPECTS_PER_MESSAGE: usize = 60;

/// Maximum number of quarantined prompt parts in one [`Heartbeat`].
pub const MAX_QUARANTINED_PER_MESSAGE: usize = 16;

/// Shortened id of an engine.
pub type ShortId = u32;

/// Version of the message format, the first byte of each datagram. It changes with the messages, so
/// that two builds running side by side during a rollout do not misread each other. State that must
/// survive between builds is in the store.
const FORMAT_VERSION: u8 = 7;

/// Encodes a message as a datagram.
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_extend(message, vec![FORMAT_VERSION])
        .expect("encoding into a vector does not fail")
}

/// Encodes a message as datagrams of at most [`MAX_DATAGRAM_BYTES`]. A list that is too long for one of them is
/// split. A message that can't be split further gives no datagram.
pub fn encode_within_limit(message: &Message) -> Vec<Vec<u8>> {
    let datagram = encode(message);
    if datagram.len() <= MAX_DATAGRAM_BYTES {
        return vec![datagram];
    }
    let Some((first, rest)) = split(message) else {
        log::warn!(event = "datagram-too-large", bytes = datagram.len(); "a message of {} bytes cannot be sent", datagram.len());
        return Vec::new();
    };
    let mut datagrams = encode_within_limit(&first);
    datagrams.extend(encode_within_limit(&rest));
    datagrams
}

/// Splits the list of a message in two. Returns `None` if there is nothing to split.
fn split(message: &Message) -> Option<(Message, Message)> {
    fn halves<T: Clone>(list: &[T]) -> Option<(Vec<T>, Vec<T>)> {
        let (first, rest) = list.split_at(list.len().div_ceil(2));
        (!rest.is_empty()).then(|| (first.to_vec(), rest.to_vec()))
    }
    match message {
        Message::AdapterUpdates(list) => {
            let (first, rest) = halves(list)?;
            Some((
                Message::AdapterUpdates(first),
                Message::AdapterUpdates(rest),
            ))
        }
        Message::Leaving(list) => {
            let (first, rest) = halves(list)?;
            Some((Message::Leaving(first), Message::Leaving(rest)))
        }
        Message::Vanished(list) => {
            let (first, rest) = halves(list)?;
            Some((Message::Vanished(first), Message::Vanished(rest)))
        }
        Message::Workloads(it) => {
            let (first, rest) = halves(&it.workloads)?;
            let part = |workloads, continued| {
                Message::Workloads(Workloads {
                    host: it.host.clone(),
                    continued,
                    workloads,
                })
            };
            Some((part(first, it.continued), part(rest, true)))
        }
        Message::Heartbeat(it) => {
            let (first, rest) = halves(&it.adapter_usage)?;
            let part = |adapter_usage, usage_continued| {
                Message::Heartbeat(Heartbeat {
                    usage_continued,
                    adapter_usage,
                    ..it.clone()
                })
            };
            Some((part(first, it.usage_continued), part(rest, true)))
        }
        Message::Origins(list) => {
            let (first, rest) = halves(list)?;
            Some((Message::Origins(first), Message::Origins(rest)))
        }
        Message::Limits(list) => {
            let (first, rest) = halves(list)?;
            Some((Message::Limits(first), Message::Limits(rest)))
        }
        Message::AccountUsage(it) => {
            let (first, rest) = halves(&it.accounts)?;
            let part = |accounts| {
                Message::AccountUsage(AccountUsage {
                    accounts,
                    ..it.clone()
                })
            };
            Some((part(first), part(rest)))
        }
        Message::AccountWork(list) => {
            let (first, rest) = halves(list)?;
            Some((Message::AccountWork(first), Message::AccountWork(rest)))
        }
        Message::Speeds(list) => {
            let (first, rest) = halves(list)?;
            Some((Message::Speeds(first), Message::Speeds(rest)))
        }
        Message::IdleSpeeds(list) => {
            let (first, rest) = halves(list)?;
            Some((Message::IdleSpeeds(first), Message::IdleSpeeds(rest)))
        }
        Message::Full(list) => {
            let (first, rest) = halves(list)?;
            Some((Message::Full(first), Message::Full(rest)))
        }
        Message::LoadRequest(_)
        | Message::ListState(_)
        | Message::PromptSent(..)
        | Message::OriginQuery(_)
        | Message::OriginReply(_)
        | Message::Crash(_)
        | Message::PartSuccess(_)
        | Message::TurnRequest(_)
        | Message::TurnReply(_)
        | Message::LimitSuperseded(_)
        | Message::Ended(_)
        | Message::Alive(_)
        | Message::FirstRequests(_)
        | Message::LoadTimes(_)
        | Message::PromptEnded(..)
        | Message::CopyWanted(_) => None,
    }
}

/// Decodes a datagram. Returns `None` if it has another format version or is malformed.
pub fn decode(datagram: &[u8]) -> Option<Message> {
    let (format, rest) = datagram.split_first()?;
    if *format != FORMAT_VERSION {
        return None;
    }
    postcard::from_bytes(rest).ok()
}

/// Message between hosts.
#[derive(Debug, Deserialize, Serialize)]
pub enum Message {
    /// Periodic heartbeat.
    #[serde(rename = "Hello")]
    Heartbeat(Heartbeat),
    /// Request for a load, sent to the steward of the engine.
    #[serde(rename = "Want")]
    LoadRequest(LoadRequest),
    /// Adapters whose load on an engine was ordered, or that were removed from an engine.
    #[serde(rename = "News")]
    AdapterUpdates(Vec<AdapterUpdate>),
    /// A prompt was sent to an engine: the engine, and the number of prompt tokens that it has to
    /// prefill.
    #[serde(rename = "Sent")]
    PromptSent(ShortId, u32),
    /// Engines that accept no more work, for good.
    Leaving(Vec<EngineIncarnation>),
    /// Engines whose entry has vanished. They may come back.
    Vanished(Vec<EngineIncarnation>),
    /// State of the host's lists.
    #[serde(rename = "Lists")]
    ListState(ListState),
    /// Workload that the host puts on engines.
    #[serde(rename = "Loads")]
    Workloads(Workloads),
    /// Streams, each with the build that began it.
    Origins(Vec<(StreamNumber, BuildNumber)>),
    /// Question which build began a stream.
    OriginQuery(OriginQuery),
    /// Response to an [`OriginQuery`].
    OriginReply(OriginReply),
    /// Crash of an engine.
    Crash(CrashReport),
    /// A request with a prompt part that was quarantined has succeeded.
    PartSuccess(PartSuccess),
    /// Limits of engines.
    Limits(Vec<EngineLimit>),
    /// Engines without room.
    Full(Vec<FullEngine>),
    /// An engine allows more than the receiver knows.
    LimitSuperseded(LimitSuperseded),
    /// Question for a turn at an engine with a limit.
    TurnRequest(TurnRequest),
    /// Response to a [`TurnRequest`].
    TurnReply(TurnReply),
    /// An engine that may have ended, and started again under its id.
    Ended(EndedEngine),
    /// An engine of which the sender has reported that it may have ended has not ended.
    Alive(EngineIncarnation),
    /// Units that the host has admitted of client accounts with a quota. Earlier builds, which know no accounts, discard it.
    AccountUsage(AccountUsage),
    /// Samples of the speed of engines since the last message. Earlier builds discard it.
    Speeds(Vec<SpeedSamples>),
    /// The first requests after a load, sent to the steward of the engine. Earlier builds discard it.
    FirstRequests(FirstRequests),
    /// Observed durations of loads. Earlier builds discard it.
    LoadTimes(LoadTimes),
    /// Account ([`fleet::account::ledger::AccountId`]) and tokens of its requests that took room since the last message,
    /// while requests waited at the host. Earlier builds discard it.
    AccountWork(Vec<(u32, u32)>),
    /// Samples like [`Message::Speeds`], of engines that did nothing else. Earlier builds discard it.
    IdleSpeeds(Vec<SpeedSamples>),
    /// A prompt that was announced with [`Message::PromptSent`] has ended: the engine, the prompt tokens, and how. Earlier
    /// builds discard it.
    PromptEnded(ShortId, u32, PromptEnd),
    /// A further copy of an adapter is wanted, sent to the steward of the engine that is busy with it. Earlier builds
    /// discard it.
    CopyWanted(CopyWanted),
}

/// Encoding of [`fleet::reading::End`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub enum PromptEnd {
    /// Its first event has come.
    Read,
    /// It was refused, or its request was cancelled or lost.
    Dropped,
}

/// Adapter of which a request would wait less at another engine.
#[derive(Debug, Deserialize, Serialize)]
pub struct CopyWanted {
    /// Id of the busy engine, which holds the adapter.
    pub engine: ShortId,
    /// Name of the adapter.
    pub name: String,
    /// Number of earlier such messages of the sender about the adapter.
    pub earlier: u32,
}

/// First requests of a host after a load. Encoding of [`fleet::loader::Arrival`].
#[derive(Debug, Deserialize, Serialize)]
pub struct FirstRequests {
    /// Id of the engine.
    pub engine: ShortId,
    /// Name of the adapter.
    pub name: String,
    /// Requests that found the adapter missing.
    pub misses: u32,
    /// Time in ms from the expected end of the load to the last of them.
    pub missing_after_ms: u32,
    /// Time in ms from the expected end to the request that found the adapter; `None` if none did.
    pub found_after_ms: Option<u32>,
}

/// Durations of loads that nothing slowed down, as the sender has observed them.
#[derive(Debug, Deserialize, Serialize)]
pub struct LoadTimes {
    /// Loads from the weight store.
    pub fetches: ObservedTimes,
    /// Loads from the memory of the engines.
    pub reloads: ObservedTimes,
}

/// Durations of one kind of load.
#[derive(Debug, Deserialize, Serialize)]
pub struct ObservedTimes {
    /// The sender's estimate in ms.
    pub expected_ms: u32,
    /// Number of loads on which it is based.
    pub samples: u32,
    /// Loads since the last message: time in ms after which the adapter was still missing, if it was, and after which it
    /// was found.
    pub observations: Vec<(Option<u32>, u32)>,
}

/// Samples of the speed of an engine ([`fleet::capacity::Samples`]): the engine, their number, prompt tokens, and time in ms.
pub type SpeedSamples = (ShortId, u32, u32, u32);

/// Units that a host has admitted of client accounts with a quota.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AccountUsage {
    /// Start of the host's process in ms since the Unix epoch.
    pub incarnation: u64,
    /// Number of the report; each process counts its own.
    pub number: u64,
    /// Account ([`fleet::account::ledger::AccountId`]), units since the first use, and time in ms since then.
    pub accounts: Vec<(u32, i64, u32)>,
}

/// Limit of the requests that an engine takes from all hosts together.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct EngineLimit {
    /// Incarnation of the engine.
    pub engine: EngineIncarnation,
    /// The statement of the limit.
    pub stated: StatedLimit,
}

/// Encoding of [`fleet::request_limit::Stated`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct StatedLimit {
    /// Identifies the answer of the engine ([`fleet::request_limit::StatementId`]).
    pub id: u32,
    /// Requests per 1,000 seconds.
    pub rate: u32,
    /// Time in ms since the latest moment at which the engine can have made the answer.
    pub age_ms: u32,
}

/// Encoding of [`fleet::request_limit::Supersession`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LimitSuperseded {
    /// Incarnation of the engine.
    pub engine: EngineIncarnation,
    /// The statement that the receiver knows.
    pub superseded: StatedLimit,
    /// Time in ms after that statement at which the engine allowed more, at the earliest.
    pub later_ms: u32,
    /// The newest statement of the engine; `None` if it has no limit.
    pub current: Option<StatedLimit>,
}

/// Engine that has refused a request for want of room, and that crashes if it refuses too many.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct FullEngine {
    /// Incarnation of the engine.
    pub engine: EngineIncarnation,
    /// The refusal.
    pub refusal: Refusal,
}

/// Last refusal of an engine for want of room.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Refusal {
    /// Refusals in a second that the engine withstands.
    pub tolerance: u32,
    /// Time in ms since the refusal.
    pub age_ms: u32,
}

/// Question for a turn at an engine with a limit, or without room.
#[derive(Debug, Deserialize, Serialize)]
pub struct TurnRequest {
    /// Incarnation of the engine.
    pub engine: EngineIncarnation,
    /// The limit that the sender knows, if there is one.
    pub stated: Option<StatedLimit>,
    /// The last refusal that the sender knows, if the engine is full.
    pub refusal: Option<Refusal>,
    /// Number of the question, unique among those of the sender.
    pub number: u32,
    /// Time in ms for which the request may wait for its turn and still be on time.
    pub on_time_ms: u32,
    /// Time in ms for which it may wait if no request is turned away.
    pub longest_wait_ms: u32,
    /// True if the sender asks for another host that doesn't reach the coordinator.
    pub is_relayed: bool,
}

/// Response to a [`TurnRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub struct TurnReply {
    /// Number of the question.
    pub number: u32,
    /// The outcome.
    pub outcome: TurnOutcome,
}

/// Encoding of [`fleet::request_limit::Turn`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub enum TurnOutcome {
    /// The engine has no limit.
    Unlimited,
    /// One request may be sent after this time in ms, while the limit isn't lower than this.
    Granted {
        /// Time in ms.
        wait_ms: u32,
        /// The limit in requests per 1,000 seconds.
        rate: u32,
    },
    /// All turns are taken. There may be one after this time in ms.
    Taken(u32),
}

/// A stream: [`fleet::origin::StreamId`].
pub type StreamNumber = u64;

/// A build of the engines of a service: [`fleet::origin::BuildId`].
pub type BuildNumber = u64;

/// Question which build began a stream.
#[derive(Debug, Deserialize, Serialize)]
pub struct OriginQuery {
    /// The stream.
    pub stream: StreamNumber,
    /// Service of the engine that began it.
    pub service: String,
}

/// Knowledge of a host about the build that began a stream.
#[derive(Debug, Deserialize, Serialize)]
pub struct OriginReply {
    /// The stream.
    pub stream: StreamNumber,
    /// Knowledge of the host.
    pub origin: KnownOrigin,
}

/// Encoding of [`Origin`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KnownOrigin {
    /// The host has a record.
    Recorded(BuildNumber),
    /// The host has no record, and the service has had this build only.
    Only(BuildNumber),
    /// The host has no record, and the service has had several builds.
    Several,
    /// The host doesn't know.
    Unknown,
}

impl From<Origin> for KnownOrigin {
    fn from(origin: Origin) -> Self {
        match origin {
            Origin::Recorded(it) => Self::Recorded(it.0),
            Origin::Only(it) => Self::Only(it.0),
            Origin::Several => Self::Several,
            Origin::Unknown => Self::Unknown,
        }
    }
}

impl From<KnownOrigin> for Origin {
    fn from(origin: KnownOrigin) -> Self {
        match origin {
            KnownOrigin::Recorded(it) => Self::Recorded(BuildId(it)),
            KnownOrigin::Only(it) => Self::Only(BuildId(it)),
            KnownOrigin::Several => Self::Several,
            KnownOrigin::Unknown => Self::Unknown,
        }
    }
}

/// A part of the prompts of one service: [`fleet::quarantine::PartId`].
pub type PartNumber = u64;

/// Crash of an engine while it had requests of the sender.
#[derive(Debug, Deserialize, Serialize)]
pub struct CrashReport {
    /// Incarnation of the engine.
    pub engine: EngineIncarnation,
    /// Time in ms since the crash.
    pub age_ms: u32,
    /// Prompt parts of the requests that the engine had just begun, or not yet begun.
    pub suspects: Vec<ReportedSuspect>,
}

/// Encoding of [`fleet::quarantine::Suspect`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ReportedSuspect {
    /// The part.
    pub part: PartNumber,
    /// Number of parts before it.
    pub depth: u8,
    /// Time in ms since the sender's last success with the part, if it knows one.
    pub success_age_ms: Option<u32>,
}

/// Success of a request with a prompt part.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct PartSuccess {
    /// The part.
    pub part: PartNumber,
    /// Time in ms since the success.
    pub age_ms: u32,
}

/// Prompt part with which requests are refused.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartNumber,
    /// Time in ms since the beginning of the quarantine.
    pub age_ms: u32,
    /// Time in seconds from its beginning until the part is tried again.
    pub term_s: u32,
}

/// Incarnation of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct EngineIncarnation {
    /// Id of the engine.
    pub engine: ShortId,
    /// Start time of the engine, as stated in the list of engines.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// Engine whose connections have ended.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct EndedEngine {
    /// The incarnation that may have ended.
    pub engine: EngineIncarnation,
    /// Time in ms since the connections ended.
    pub age_ms: u32,
}

/// Periodic message by which a host shows that it is alive.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// True if the host is about to terminate.
    pub leaving: bool,
    /// True if the host is cut off from all engines.
    pub isolated: bool,
    /// Time in ms since an engine last answered the host; `None` if none has.
    pub engine_contact_ms: Option<u32>,
    /// Number of loads that the host has ordered and that are not finished.
    #[serde(rename = "transit")]
    pub in_flight_loads: u32,
    /// The host's estimate of the concurrent loads per engine at full speed.
    pub full_speed_loads: f64,
    /// Engines to which the host may send orders now.
    pub claims: Vec<ShortId>,
    /// State of the host's lists.
    #[serde(rename = "lists")]
    pub list_state: ListState,
    /// Prompt parts that the host has quarantined.
    pub quarantined_parts: Vec<QuarantinedPart>,
    /// True if `adapter_usage` continues that of an earlier heartbeat.
    pub usage_continued: bool,
    /// Requests of the host at engines of which the receiver is the steward.
    #[serde(rename = "runs")]
    pub adapter_usage: Vec<AdapterUsage>,
}

/// Workload that a host puts on an engine: the engine, running requests, prompt tokens that the engine has yet to
/// prefill, and the time in ms since the host last received data from the engine.
pub type EngineWorkload = (ShortId, u32, u32, u32);

/// Workload that a host puts on engines.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Workloads {
    /// Name of the host.
    pub host: String,
    /// True if an earlier message of the same report precedes this one.
    pub continued: bool,
    /// For each engine with work of the host.
    #[serde(rename = "loads")]
    pub workloads: Vec<EngineWorkload>,
}

/// Requests of a host that use an adapter on an engine. It is sent only to the steward of the
/// engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdapterUsage {
    /// Id of the engine.
    pub engine: ShortId,
    /// Name of the adapter.
    pub name: String,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests started since the last heartbeat.
    #[serde(rename = "began")]
    pub started: u32,
}

/// Request for a load.
#[derive(Debug, Deserialize, Serialize)]
pub struct LoadRequest {
    /// Service of the engine.
    pub service: String,
    /// Name of the adapter.
    pub name: String,
    /// Set if one more replica is requested: the decayed use count that the replica would take
    /// over.
    #[serde(rename = "spread")]
    pub replica_uses: Option<f64>,
    /// Number of requests that wait for the adapter.
    pub waiting: u32,
    /// Build of the engine that has to load the adapter, if a stream is to be resumed.
    pub build: Option<BuildNumber>,
    /// Engine at which the stream broke off.
    pub lost_engine: Option<ShortId>,
}

/// Adapter whose load on an engine was ordered, or that was removed from an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdapterUpdate {
    /// Id of the engine.
    pub engine: ShortId,
    /// Name of the adapter.
    pub name: String,
    /// Version, and time in ms until its load is due; `None` if the adapter was removed.
    #[serde(rename = "comes")]
    pub arrival: Option<(u64, u32)>,
}

/// Nearest whole number.
pub fn to_whole(it: f64) -> u32 {
    // The clamp keeps the value within the range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = it.clamp(0.0, f64::from(u32::MAX)).round() as u32;
    whole
}

/// Time in whole milliseconds.
pub fn to_millis(it: Duration) -> u32 {
    u32::try_from(it.as_millis()).unwrap_or(u32::MAX)
}

/// Time of this many milliseconds.
pub fn from_millis(it: u32) -> Duration {
    Duration::from_millis(it.into())
}

/// Identifies an incarnation of an engine, to announce that it accepts no more work.
pub fn make_incarnation(id: &str, incarnation: u64) -> EngineIncarnation {
    EngineIncarnation {
        engine: short_id(id),
        incarnation,
    }
}

/// Builds an update: the engine will hold a version of an adapter after some time, or no longer
/// holds it.
pub fn make_adapter_update(
    id: &str,
    name: &Name,
    arrival: Option<(u64, Duration)>,
) -> AdapterUpdate {
    AdapterUpdate {
        engine: short_id(id),
        name: name.to_string(),
        arrival: arrival.map(|(version, due)| (version, to_millis(due))),
    }
}
