//! Owns the steward's state: feeds events into it and executes the resulting actions.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

use kernel::{permit::Verdict, registry::inventory};
use steward::{Action, Event, OrderResult, Settings, State, Ticket};

use crate::{
    duty::orders::{self, Job},
    flow::MAX_DEADLINE,
    host::Host,
    inbox::{Message, PendingRequest, Reply},
    lending,
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "steward",
        phase: Phase::Service,
        run,
    }
}

/// Number of threads for orders. Each order occupies a thread until the engine responds.
const ORDER_THREADS: usize = 16;

/// Maximum number of orders that wait for a thread.
const MAX_QUEUED_JOBS: usize = 256;

/// The longest sleep, so that the thread notices a shutdown.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// Number of low bits of a permit number that count permits. The remaining bits are the
/// incarnation, which is a time in milliseconds. A later incarnation therefore starts with a higher
/// number, unless an earlier one granted more than 2^20 permits per millisecond.
const PERMIT_COUNTER_BITS: u32 = 20;

fn run(host: &Arc<Host>, stop: &Stop) {
    let (jobs, receiver) = sync_channel(MAX_QUEUED_JOBS);
    let threads = orders::start(host, receiver, ORDER_THREADS);
    let mut worker = Worker {
        host,
        state: State::new(settings(host)),
        replies: HashMap::new(),
        jobs,
    };
    while !stop.is_set() {
        worker.run_once();
    }
    let Worker { jobs, .. } = worker;
    // Closing the channel stops the threads.
    drop(jobs);
    join(threads);
}

fn settings(host: &Host) -> Settings {
    Settings {
        last_permit_number: host.me.incarnation << PERMIT_COUNTER_BITS,
        max_deadline: MAX_DEADLINE,
        ..Settings::default()
    }
}

fn join(threads: Vec<thread::JoinHandle<()>>) {
    for thread in threads {
        if thread.join().is_err() {
            log::error!(target: "steward", "An order thread panicked.");
        }
    }
}

/// The thread that owns the steward's state.
struct Worker<'a> {
    host: &'a Arc<Host>,
    state: State,
    replies: HashMap<Ticket, Reply>,
    jobs: SyncSender<Job>,
}

impl Worker<'_> {
    fn run_once(&mut self) {
        let now = self.host.clock.now();
        let due = self.state.next_tick();
        let timeout = due.map_or(MAX_SLEEP, |it| it.saturating_duration_since(now));
        let messages = self.host.inbox.take(timeout.min(MAX_SLEEP));
        for message in messages {
            match message {
                Message::Request(request) => self.handle_request(request),
                Message::Event(event) => self.handle(event),
            }
        }
        let now = self.host.clock.now();
        if self.state.next_tick().is_some_and(|it| it <= now) {
            self.handle(Event::Tick);
        }
    }

    fn handle_request(&mut self, pending: PendingRequest) {
        let PendingRequest {
            ticket,
            mut request,
            received_at,
            reply,
        } = pending;
        // The time spent in the queue counts against the request's remaining time.
        let waited = self.host.clock.now().saturating_duration_since(received_at);
        request.remaining = request.remaining.saturating_sub(waited);
        self.replies.insert(ticket, reply);
        self.handle(Event::PermitRequest { ticket, request });
    }

    fn handle(&mut self, event: Event) {
        if let Event::Withdraw { ticket } = &event {
            self.replies.remove(ticket);
        }
        let actions = self.state.handle(event, self.host.clock.now());
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Answer { ticket, verdict } => self.answer(ticket, verdict),
            Action::Redirect { ticket } => self.answer(ticket, Verdict::NotSteward),
            Action::Load {
                order,
                engine,
                address,
                loaded,
                fence,
            } => {
                log::info!(target: "steward", "Loading {loaded} on {engine}.");
                self.enqueue(Job::load(order, address, loaded, fence));
            }
            Action::Unload {
                order,
                engine,
                address,
                loaded,
                fence,
            } => {
                log::info!(target: "steward", "Unloading {loaded} from {engine}.");
                self.enqueue(Job::unload(order, address, loaded, fence));
            }
            Action::QueryStatus { engine } => self.host.request_status_query(engine),
            Action::Publish { engine, change } => {
                let me = &self.host.me.host;
                let entry = self.host.directory.publish(me, &engine, change);
                self.host.publish(entry);
            }
            Action::PublishBacklog { backlog } => {
                let me = &self.host.me.host;
                let entry = self.host.directory.publish_backlog(me, backlog);
                self.host.publish(entry);
            }
            Action::SendDemand(demand) => lending::send_demand(self.host, demand),
            Action::Superseded { engine } => {
                log::warn!(target: "steward", "Engine {engine} rejected an order: it has a later steward.");
                self.host.verify_claim(engine);
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) {
        if let Some(reply) = self.replies.remove(&ticket) {
            reply(verdict);
        }
    }

    fn enqueue(&mut self, job: Job) {
        let job = match self.jobs.try_send(job) {
            Ok(()) => return,
            Err(TrySendError::Full(it) | TrySendError::Disconnected(it)) => it,
        };
        let result = OrderResult::Failed("too many orders wait for a thread".to_owned());
        self.host.inbox.push_event(Event::OrderEnded {
            order: job.order,
            result,
        });
    }
}
