//! Initial state of a simulation and the scripted events of a scenario.

use std::time::Instant;

use kernel::{
    name::Domain,
    service::{Fencing, Instance, Role, State as Availability},
};
use steward::{Event, Predecessor, Settings, State, route::Directory};

use crate::{
    deployment::Deployment,
    engine::Engine,
    event_queue::EventQueue,
    metrics::Metrics,
    scenario::{DURATION, EVENT_AT, OUTAGE_DURATION, Scenario, WARM_UP},
    store::{Health, Store},
    trace::{Arrival, TENANT_COUNT},
};

use super::{Progress, SimEvent, SimHost, Simulation, adapter_reference, lending, parse_name};

impl<'a> Simulation<'a> {
    pub(super) fn new(
        deployment: &'a Deployment,
        settings: &Settings,
        trace: &'a [Arrival],
    ) -> Self {
        let settings = Settings {
            objective: deployment.objective,
            initial_capacity: deployment.batch_size,
            ..settings.clone()
        };
        let clock_base = Instant::now();
        let mut simulation = Self {
            deployment,
            trace,
            clock_base,
            pool: lending::new_pool(deployment, clock_base),
            lend_at: None,
            now: 0,
            events: EventQueue::default(),
            hosts: (0..deployment.hosts)
                .map(|it| new_host(it, it % deployment.domains, &settings))
                .collect(),
            engines: (0..deployment.engines).map(|_| Engine::default()).collect(),
            loading: vec![0; deployment.engines],
            store: Store::new(deployment),
            references: (0..deployment.adapters).map(adapter_reference).collect(),
            tenants: (0..TENANT_COUNT)
                .map(|it| parse_name(&format!("tenant-{it}")))
                .collect(),
            model: parse_name("base"),
            progress: trace.iter().map(|_| Progress::default()).collect(),
            warm_up_usage: (0, 0),
            metrics: Metrics {
                batch_size: deployment.batch_size,
                batch_capacity: deployment.batch_capacity(),
                duration: DURATION - WARM_UP,
                ..Metrics::default()
            },
        };
        simulation.assign_engines();
        simulation
    }

    /// Assigns each engine to a steward, which is a host of the engine's failure domain.
    pub(super) fn assign_engines(&mut self) {
        for engine in 0..self.deployment.engines {
            let event = Event::Acquired {
                engine: self.instance(engine),
                fence: 1,
                fencing: Fencing::Checked,
                predecessor: Predecessor::None,
            };
            let host = self.steward_of(engine);
            self.events.schedule(0, SimEvent::Steward(host, event));
        }
        self.distribute_limits();
    }

    /// Returns the host that is the steward of an engine.
    pub(super) fn steward_of(&self, engine: usize) -> usize {
        let domains = self.deployment.domains;
        let domain = engine % domains;
        let domain_hosts: Vec<_> = (0..self.deployment.hosts)
            .filter(|it| it % domains == domain)
            .collect();
        domain_hosts[(engine / domains) % domain_hosts.len()]
    }

    /// Schedules the events of a scenario and the end of the warm-up.
    pub(super) fn schedule_events(&mut self, scenario: Scenario) {
        match scenario {
            Scenario::Restart => self.events.schedule(EVENT_AT, SimEvent::EngineRestart),
            Scenario::Outage => {
                self.events
                    .schedule(EVENT_AT, SimEvent::StoreHealth(Health::Down));
                self.events.schedule(
                    EVENT_AT + OUTAGE_DURATION,
                    SimEvent::StoreHealth(Health::Up),
                );
            }
            _ => {}
        }
        self.events.schedule(WARM_UP, SimEvent::WarmUpEnd);
    }

    pub(super) fn instance(&self, engine: usize) -> Instance {
        Instance {
            name: parse_name(&format!("engine-{engine}")),
            address: ([127, 0, 0, 1], 1).into(),
            domain: domain_name(engine % self.deployment.domains),
            role: Role::Engine(self.model.clone()),
            state: Availability::Live,
        }
    }
}

fn new_host(index: usize, domain_index: usize, settings: &Settings) -> SimHost {
    SimHost {
        name: parse_name(&format!("host-{index}")),
        domain: domain_index,
        state: State::new(settings.clone()),
        directory: Directory::new(domain_name(domain_index)),
        next_tick_at: None,
    }
}

fn domain_name(index: usize) -> Domain {
    parse_name(&format!("domain-{index}"))
}
