//! Faults of the simulated network.

use std::time::Duration;

use super::site::Site;
use crate::core::time::Instant;
use crate::hash;

/// How a link treats a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// The message arrives after this delay.
    Deliver(Duration),
    /// The connection is refused; the caller gets the error after [`ONE_WAY_DELAY`].
    Refuse,
    /// The message is lost; a caller notices it only by its timeout.
    Drop,
}

/// One-way delay between two VMs of a zone.
pub const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// Delivers every message after [`ONE_WAY_DELAY`].
pub fn healthy_link(_: Instant, _: Site, _: Site) -> Link {
    Link::Deliver(ONE_WAY_DELAY)
}

/// A fault of the links between two sets of sites, for a period of time.
#[derive(Debug, Clone)]
pub struct Fault {
    /// Start of the fault, and its end, at which it no longer applies.
    pub period: (Instant, Instant),
    /// Sites of the first side and of the second side.
    pub between: (Vec<Site>, Vec<Site>),
    /// Treatment of messages from the first side to the second; `None` if they are unaffected.
    pub forward: Option<Link>,
    /// Treatment of messages from the second side to the first; `None` if they are unaffected.
    pub backward: Option<Link>,
}

impl Fault {
    /// Drops the messages of both directions.
    pub fn cut(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>) -> Self {
        Self { period, between: (one, other), forward: Some(Link::Drop), backward: Some(Link::Drop) }
    }

    /// Refuses the messages of both directions.
    pub fn refuse(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>) -> Self {
        Self { forward: Some(Link::Refuse), backward: Some(Link::Refuse), ..Self::cut(period, one, other) }
    }

    /// Delivers the messages of both directions after `delay`.
    pub fn slow(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>, delay: Duration) -> Self {
        let link = Some(Link::Deliver(delay));
        Self { forward: link, backward: link, ..Self::cut(period, one, other) }
    }

    /// Drops the messages from the second side to the first, so that replies are lost.
    pub fn lose_answers(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>) -> Self {
        Self { forward: None, ..Self::cut(period, one, other) }
    }

    fn effect_on(&self, now: Instant, from: Site, to: Site) -> Option<Link> {
        if now < self.period.0 || now >= self.period.1 {
            return None;
        }
        let (one, other) = &self.between;
        if one.contains(&from) && other.contains(&to) {
            return self.forward;
        }
        if other.contains(&from) && one.contains(&to) {
            return self.backward;
        }
        None
    }
}

/// Creates a link with faults, of which the first that applies to a message decides. Without a fault the delay of each
/// message varies, so that messages overtake each other.
pub fn faulty_link(faults: Vec<Fault>) -> impl Fn(Instant, Site, Site) -> Link {
    const JITTER_US: u64 = 4_000;
    move |now, from, to| {
        let effect = faults.iter().find_map(|fault| fault.effect_on(now, from, to));
        let jitter_us = hash::numbers([now.0, from.hash_input(), to.hash_input()]) % JITTER_US;
        effect.unwrap_or(Link::Deliver(ONE_WAY_DELAY + Duration::from_micros(jitter_us)))
    }
}
