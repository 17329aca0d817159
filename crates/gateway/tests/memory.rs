//! Bodies that share a budget: which are given up, and when their bytes are free again.

use std::{convert::Infallible, pin::Pin};

use bytes::Bytes;
use futures::{
    StreamExt,
    channel::mpsc::{self, UnboundedSender},
    future, poll,
};
use gateway::memory::{Budget, Failure, Kind, Reason, SMALL_BODY_BYTES};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::runtime::Builder;

const MAX_BYTES: usize = 10 * SMALL_BODY_BYTES;

type Collected = Result<Bytes, Failure<Infallible>>;

/// Body that arrives as a test sends it.
struct Arriving {
    sender: Option<UnboundedSender<usize>>,
    collected: Pin<Box<dyn Future<Output = Collected>>>,
}

impl Arriving {
    fn new(budget: &Budget) -> Self {
        let (sender, receiver) = mpsc::unbounded();
        let budget = budget.clone();
        let collected = Box::pin(async move {
            let frames = receiver.map(|it| Ok(Frame::data(Bytes::from(vec![b'x'; it]))));
            let mut body = StreamBody::new(frames);
            budget.collect(&mut body, MAX_BYTES).await
        });
        Self {
            sender: Some(sender),
            collected,
        }
    }

    /// Lets a number of bytes arrive. Returns the result if the body was given up.
    async fn receive(&mut self, len: usize) -> Option<Collected> {
        let sender = self.sender.as_ref().expect("the body has not ended");
        let _ = sender.unbounded_send(len);
        self.poll().await
    }

    async fn poll(&mut self) -> Option<Collected> {
        match poll!(&mut self.collected) {
            std::task::Poll::Ready(it) => Some(it),
            std::task::Poll::Pending => None,
        }
    }

    async fn end(&mut self) -> Collected {
        self.sender = None;
        (&mut self.collected).await
    }
}

fn run(test: impl AsyncFnOnce(Budget)) {
    let runtime = Builder::new_current_thread()
        .build()
        .expect("a runtime starts");
    runtime.block_on(test(Budget::new(Kind::Responses, MAX_BYTES)));
}

#[test]
fn the_body_that_has_used_most_memory_is_given_up() {
    run(async |budget| {
        let mut small = Arriving::new(&budget);
        assert!(small.receive(SMALL_BODY_BYTES).await.is_none());
        let mut endless = Arriving::new(&budget);
        assert!(endless.receive(8 * SMALL_BODY_BYTES).await.is_none());
        let mut sound = Arriving::new(&budget);
        assert!(sound.receive(2 * SMALL_BODY_BYTES).await.is_none());
        assert_eq!(budget.used(), 3 * SMALL_BODY_BYTES);
        let given_up = endless.poll().await;
        assert!(matches!(given_up, Some(Err(Failure::NoMemory))));
        for (mut body, len) in [(small, SMALL_BODY_BYTES), (sound, 2 * SMALL_BODY_BYTES)] {
            let whole = body.end().await.expect("the body is read");
            assert_eq!(whole.len(), len);
        }
        assert_eq!(budget.take_given_up(), [(Reason::Budget, 1)].into());
    });
}

#[test]
fn small_bodies_are_read_beyond_the_budget() {
    run(async |budget| {
        let mut bodies: Vec<_> = (0..30).map(|_| Arriving::new(&budget)).collect();
        for body in &mut bodies {
            for _ in 0..2 {
                assert!(body.receive(SMALL_BODY_BYTES / 2).await.is_none());
            }
        }
        let whole = future::join_all(bodies.iter_mut().map(Arriving::end)).await;
        assert!(whole.iter().all(Result::is_ok));
        assert_eq!(budget.used(), 30 * SMALL_BODY_BYTES);
    });
}

#[test]
fn bytes_are_free_again_when_a_body_is_dropped() {
    run(async |budget| {
        let mut cancelled = Arriving::new(&budget);
        assert!(cancelled.receive(100).await.is_none());
        assert_eq!(budget.used(), 100);
        drop(cancelled);
        assert_eq!(budget.used(), 0);
        let mut body = Arriving::new(&budget);
        for _ in 0..3 {
            assert!(body.receive(SMALL_BODY_BYTES).await.is_none());
        }
        let whole = body.end().await.expect("the body is read");
        let part = whole.slice(..10);
        drop(whole);
        assert_eq!(budget.used(), 3 * SMALL_BODY_BYTES);
        drop(part);
        assert_eq!(budget.used(), 0);
    });
}

#[test]
fn a_body_beyond_its_limit_is_given_up() {
    run(async |budget| {
        let mut body = Arriving::new(&budget);
        let given_up = body.receive(MAX_BYTES + 1).await;
        assert!(matches!(given_up, Some(Err(Failure::TooLarge))));
        assert_eq!(budget.used(), 0);
        assert_eq!(budget.take_given_up(), [(Reason::Size, 1)].into());
    });
}
