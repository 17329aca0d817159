//! Prompts that an engine is reading, and the time for which it has read of late.
//!
//! Expected load: sixty hosts that each send an engine a prompt every few seconds, and engines that turn slow for half a
//! second. All streams of an engine pause while it reads, so those who send must know at once that it hasn't read what it has.
//! A learned speed tells that seconds later.
//!
//! Hosts announce each prompt when they send it and when its first event has come. An engine reads prompts in the order in
//! which it gets them, so a first event shows that those sent before are read too, also if a message was lost.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use crate::Time;

/// Time for which prompts are remembered. It is longer than any pause that a stream may have.
const MEMORY: Duration = Duration::from_millis(600);

/// Time after which a prompt of which no first event was announced no longer counts: its host may have been lost, or may be
/// of a build that doesn't announce it.
const UNREAD_TTL: Duration = Duration::from_secs(1);

/// Expected reading time in ms at the learned speed that counts beside the observed one.
const PRIOR_MS: f64 = 30.0;

/// Maximum of the time that an engine took over the expected one. Longer times come from lost messages as often as from
/// engines.
const MAX_STRAIN: f64 = 4.0;

/// A prompt that was sent to the engine.
#[derive(Clone, Debug)]
struct Prompt {
    /// The host that sent it; `None` for this one.
    host: Option<Arc<str>>,
    tokens: u32,
    sent: Time,
    read: Option<Time>,
}

impl Prompt {
    /// End of the time in which the engine may have been reading it.
    fn end(&self, now: Time) -> Time {
        self.read.unwrap_or(now.min(self.sent + UNREAD_TTL))
    }
}

/// How the reading of a prompt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Its first event has come.
    Read,
    /// It was refused, or its request was cancelled or lost.
    Dropped,
}

/// Time in which an engine was reading without a break.
#[derive(Clone, Copy, Debug)]
struct Spell {
    start: Time,
    end: Time,
    tokens: f64,
    is_over: bool,
}

/// Prompts that were sent to one engine of late, by all hosts, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    prompts: VecDeque<Prompt>,
}

impl Reading {
    /// Records that a host has sent a prompt; `None` stands for this host.
    pub fn record_sent(&mut self, host: Option<&Arc<str>>, tokens: u32, now: Time) {
        let is_past = |it: &Prompt| it.end(now) + MEMORY < now;
        while self.prompts.front().is_some_and(is_past) {
            self.prompts.pop_front();
        }
        if tokens == 0 {
            return;
        }
        self.prompts.push_back(Prompt {
            host: host.cloned(),
            tokens,
            sent: now,
            read: None,
        });
    }

    /// Records the end of a prompt of a host. If it is read, those before it are read too.
    pub fn record_end(&mut self, host: Option<&Arc<str>>, tokens: u32, end: End, now: Time) {
        let is_meant =
            |it: &Prompt| it.read.is_none() && it.tokens == tokens && it.host.as_ref() == host;
        let Some(position) = self.prompts.iter().position(is_meant) else {
            return;
        };
        match end {
            End::Dropped => {
                self.prompts.remove(position);
            }
            End::Read => {
                for it in self.prompts.iter_mut().take(position + 1) {
                    it.read.get_or_insert(now);
                }
            }
        }
    }

    /// Prompt tokens that the engine hasn't read, as far as this host knows.
    pub fn unread_tokens(&self, now: Time) -> u32 {
        let is_unread = |it: &&Prompt| it.read.is_none() && it.sent + UNREAD_TTL > now;
        let unread = self.prompts.iter().filter(is_unread);
        unread.map(|it| it.tokens).sum()
    }

    /// Time within the last `window` in which the engine was reading.
    pub fn busy(&self, window: Duration, now: Time) -> Duration {
        let mut busy = Duration::ZERO;
        let mut counted_until = now.saturating_sub(window);
        for it in &self.prompts {
            let end = it.end(now);
            busy += end.saturating_sub(it.sent.max(counted_until));
            counted_until = counted_until.max(end);
        }
        busy
    }

    /// Time that the engine took of late over the expected one, at least 1. It is expected to take `base_ms` for each spell
    /// of reading beside the time for its tokens.
    pub fn strain(&self, tokens_per_ms: f64, base_ms: f64, now: Time) -> f64 {
        let (mut took_ms, mut expected_ms) = (PRIOR_MS, PRIOR_MS);
        for spell in self.spells(now) {
            let spell_ms = spell.end.saturating_sub(spell.start).as_secs_f64() * 1000.0;
            let usual_ms = spell.tokens / tokens_per_ms + base_ms;
            // A spell that isn't over shows nothing until it takes longer than usual.
            if spell.is_over || spell_ms > usual_ms {
                took_ms += spell_ms;
                expected_ms += usual_ms;
            }
        }
        (took_ms / expected_ms).clamp(1.0, MAX_STRAIN)
    }

    /// The spells of the last moment in which the engine was reading without a break.
    fn spells(&self, now: Time) -> Vec<Spell> {
        let mut spells: Vec<Spell> = Vec::new();
        for it in self.prompts.iter().filter(|it| it.end(now) + MEMORY > now) {
            let (end, tokens, is_over) = (it.end(now), f64::from(it.tokens), it.read.is_some());
            match spells.last_mut().filter(|last| it.sent <= last.end) {
                Some(last) => {
                    last.end = last.end.max(end);
                    last.tokens += tokens;
                    last.is_over &= is_over;
                }
                None => spells.push(Spell {
                    start: it.sent,
                    end,
                    tokens,
                    is_over,
                }),
            }
        }
        spells
    }
}
