//! Samples of the speed of engines, which hosts share (`fleet::capacity`).

use std::time::Duration;

use fleet::{
    Time,
    capacity::{Load, Samples},
    rendezvous::short_id,
};

use super::Gossip;
use crate::message::{self, MAX_WORKLOADS_PER_MESSAGE, Message, SpeedSamples};

/// Time between two messages with samples. Each costs as much as a heartbeat.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(800);

impl Gossip {
    /// Samples since they were last sent, if that is due.
    pub(super) fn speed_messages(&self, now: Time) -> Vec<Message> {
        let sent_at = &self.gateway.speeds_sent_at;
        if sent_at.get() + SAMPLE_INTERVAL > now {
            return Vec::new();
        }
        sent_at.set(now);
        let samples = self.gateway.speed_samples.take();
        let table = self.gateway.table.borrow();
        let (mut idle, mut busy) = (Vec::new(), Vec::new());
        for ((key, load), it) in &samples {
            let Some(engine) = table.get(*key) else {
                continue;
            };
            let samples = encode(short_id(&engine.listing.id), it);
            match load {
                Load::Idle => idle.push(samples),
                Load::Busy => busy.push(samples),
            }
        }
        let idle = idle.chunks(MAX_WORKLOADS_PER_MESSAGE);
        let busy = busy.chunks(MAX_WORKLOADS_PER_MESSAGE);
        idle.map(|it| Message::IdleSpeeds(it.to_vec()))
            .chain(busy.map(|it| Message::Speeds(it.to_vec())))
            .collect()
    }

    /// Records the samples of another host. Sums over several requests can't tell the time of a step from that of a token,
    /// so they count as those of busy engines.
    pub(super) fn handle_speeds(&self, samples: &[SpeedSamples], load: Load) {
        for (engine, count, tokens, millis) in samples {
            let key = self.gateway.table.borrow().find_by_short_id(*engine);
            let samples = Samples {
                count: f64::from(*count),
                tokens: f64::from(*tokens),
                millis: f64::from(*millis),
            };
            if let Some(key) = key.filter(|_| *count > 0) {
                let load = if *count == 1 { load } else { Load::Busy };
                self.gateway.record_speed(key, samples, load, "other-host");
            }
        }
    }
}

fn encode(engine: u32, samples: &Samples) -> SpeedSamples {
    let Samples {
        count,
        tokens,
        millis,
    } = *samples;
    let [count, tokens, millis] = [count, tokens, millis].map(message::to_whole);
    (engine, count, tokens, millis)
}
