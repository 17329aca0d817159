//! The fleet at the beginning of a run, and what happens to it.

use std::time::Instant;

use kernel::{
    name::Domain,
    service::{Fencing, Instance, Role, State as Availability},
};
use steward::{Event, Predecessor, Settings, State, route::Directory};

use crate::{
    agenda::Agenda,
    deployment::Deployment,
    figures::Figures,
    machine::Machine,
    scenario::{EVENT, LENGTH, OUTAGE, Scenario, WARM_UP},
    store::{Health, Store},
    trace::{Arrival, TENANTS},
};

use super::{Fleet, Happening, Member, Progress, lending, named, reference};

impl<'a> Fleet<'a> {
    pub(super) fn new(
        deployment: &'a Deployment,
        settings: &Settings,
        trace: &'a [Arrival],
    ) -> Self {
        let settings = Settings {
            objective: deployment.objective,
            initial_capacity: deployment.batch,
            ..settings.clone()
        };
        let base = Instant::now();
        let mut fleet = Self {
            deployment,
            trace,
            base,
            pool: lending::pool(deployment, base),
            lend_at: None,
            now: 0,
            agenda: Agenda::default(),
            members: (0..deployment.hosts)
                .map(|it| member(it, it % deployment.domains, &settings))
                .collect(),
            machines: (0..deployment.engines)
                .map(|_| Machine::default())
                .collect(),
            loading: vec![0; deployment.engines],
            store: Store::new(deployment),
            references: (0..deployment.adapters).map(reference).collect(),
            tenants: (0..TENANTS)
                .map(|it| named(&format!("tenant-{it}")))
                .collect(),
            model: named("base"),
            progress: trace.iter().map(|_| Progress::default()).collect(),
            marked: (0, 0),
            figures: Figures {
                batch: deployment.batch,
                places: deployment.places(),
                length: LENGTH - WARM_UP,
                ..Figures::default()
            },
        };
        fleet.assign();
        fleet
    }

    /// Makes each engine's steward one of the entry hosts of its failure domain.
    pub(super) fn assign(&mut self) {
        for engine in 0..self.deployment.engines {
            let event = Event::Acquired {
                engine: self.instance(engine),
                fence: 1,
                fencing: Fencing::Checked,
                predecessor: Predecessor::None,
            };
            let host = self.steward_of(engine);
            self.agenda.plan(0, Happening::Tell(host, event));
        }
        self.share();
    }

    pub(super) fn steward_of(&self, engine: usize) -> usize {
        let domains = self.deployment.domains;
        let domain = engine % domains;
        let hosts: Vec<_> = (0..self.deployment.hosts)
            .filter(|it| it % domains == domain)
            .collect();
        hosts[(engine / domains) % hosts.len()]
    }

    pub(super) fn script(&mut self, scenario: Scenario) {
        match scenario {
            Scenario::Restart => self.agenda.plan(EVENT, Happening::Restart),
            Scenario::Outage => {
                self.agenda.plan(EVENT, Happening::Store(Health::Down));
                self.agenda
                    .plan(EVENT + OUTAGE, Happening::Store(Health::Up));
            }
            _ => {}
        }
        self.agenda.plan(WARM_UP, Happening::Mark);
    }

    pub(super) fn instance(&self, engine: usize) -> Instance {
        Instance {
            name: named(&format!("engine-{engine}")),
            address: ([127, 0, 0, 1], 1).into(),
            domain: domain(engine % self.deployment.domains),
            role: Role::Engine(self.model.clone()),
            state: Availability::Live,
        }
    }
}

fn member(index: usize, place: usize, settings: &Settings) -> Member {
    Member {
        name: named(&format!("host-{index}")),
        domain: place,
        state: State::new(settings.clone()),
        directory: Directory::new(domain(place)),
        tick: None,
    }
}

fn domain(index: usize) -> Domain {
    named(&format!("domain-{index}"))
}
