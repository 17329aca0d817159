//! Passes the events of a stream on, and resumes it at another engine where that is allowed.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fleet::stall::Stage;
use futures::stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    clock, event,
    job::{Job, Sent},
    patience::{Waited, wait},
    reply::{self, Body, Cut},
    run::Run,
    story::End,
};

/// Time for a place at another engine when a stream broke; the caller leaves after a gap of some
/// seconds.
const RESUME: Duration = Duration::from_millis(1200);

/// A stream on its way to a caller.
pub struct Relay {
    job: Job,
    source: Option<(Incoming, Run)>,
    kept: Option<Duration>,
    buffer: BytesMut,
    last: Option<String>,
    first: bool,
    ended: bool,
}

enum Next {
    Pass(Bytes),
    End,
    Broken(&'static str),
    Late,
}

impl Relay {
    /// A stream whose head was passed on.
    pub fn new(job: Job, body: Incoming, run: Run, kept: Option<Duration>) -> Self {
        let last = job.envelope.last_event_id.clone();
        Self {
            job,
            source: Some((body, run)),
            kept,
            buffer: BytesMut::new(),
            last,
            first: true,
            ended: false,
        }
    }

    /// The body for the caller.
    pub fn body(self) -> Body {
        reply::stream(stream::unfold(self, |mut it| async {
            let next = it.next().await?;
            Some((next, it))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            if self.ended {
                return None;
            }
            match self.step().await {
                Next::Pass(bytes) if bytes.is_empty() => {}
                Next::Pass(bytes) => {
                    self.job.story.passed();
                    return Some(Ok(bytes));
                }
                Next::End => {
                    self.ended = true;
                    return None;
                }
                Next::Late => return Some(Err(self.cut("timeout"))),
                Next::Broken(why) => {
                    if !self.resume(why).await {
                        return Some(Err(self.cut("upstream-lost")));
                    }
                }
            }
        }
    }

    fn cut(&mut self, why: &'static str) -> Cut {
        self.job.end(End::Cut(why));
        self.ended = true;
        self.source = None;
        Cut(why)
    }

    async fn step(&mut self) -> Next {
        let Some((body, run)) = &mut self.source else {
            return Next::Broken("no engine");
        };
        let stage = if self.first {
            Stage::FirstEvent(run.expected)
        } else {
            Stage::NextEvent
        };
        let frame = wait(&self.job.waiter(), run.key, stage, body.frame()).await;
        match frame {
            Waited::There(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    return Next::Pass(Bytes::new());
                };
                self.buffer.extend_from_slice(&data);
                let whole = event::whole(&self.buffer);
                if whole == 0 {
                    return Next::Pass(Bytes::new());
                }
                if self.first {
                    self.first = false;
                    run.first_event();
                }
                self.job.succeeded(run.key);
                let bytes = self.buffer.split_to(whole).freeze();
                if let Some(id) = event::last_id(&bytes) {
                    self.last = Some(id);
                }
                Next::Pass(bytes)
            }
            Waited::There(None) if self.buffer.is_empty() => {
                if let Some((_, run)) = self.source.take() {
                    self.job.end(End::Served);
                    run.keep(self.kept);
                }
                Next::End
            }
            Waited::There(None) => Next::Broken("ended within an event"),
            Waited::There(Some(Err(error))) => {
                log::debug!("request {}: {error}", self.job.envelope.id);
                Next::Broken("broke off")
            }
            Waited::Hung => Next::Broken("fell silent"),
            Waited::Late => Next::Late,
        }
    }

    /// Goes on at another engine after the last whole event.
    async fn resume(&mut self, why: &'static str) -> bool {
        if let Some((_, run)) = self.source.take() {
            self.job.failed(run.key);
        }
        self.job.story.outcome(why);
        self.buffer.clear();
        while self.job.may_resume() {
            let Ok(choice) = self.job.place(clock::now() + RESUME).await else {
                return false;
            };
            let last = self.last.clone();
            match self.job.send(choice, last.as_deref()).await {
                Sent::Answer(it) => {
                    let (head, body, _, run) = *it;
                    if head.status.is_success() {
                        self.kept = crate::call::kept_for(&head.headers);
                        self.first = true;
                        self.source = Some((body, run));
                        return true;
                    }
                    self.job.failed(run.key);
                }
                Sent::NotRun(_) | Sent::Lost => {}
                Sent::Late | Sent::NoBudget => return false,
            }
        }
        false
    }
}
