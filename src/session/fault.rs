//! Faults of the network in a session.

use std::time::Duration;

use super::site::Site;
use crate::core::time::Instant;
use crate::hash;

/// What happens to something that is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// It arrives after this time.
    Deliver(Duration),
    /// The sender is told at once that it was not accepted.
    Refuse,
    /// It is lost, and the sender learns nothing before its time-out.
    Drop,
}

/// One-way delay between two VMs of a zone.
pub const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// Everything arrives.
pub fn healthy_link(_: Instant, _: Site, _: Site) -> Link {
    Link::Deliver(ONE_WAY_DELAY)
}

/// A fault for a period of time.
#[derive(Debug, Clone)]
pub struct Fault {
    /// First and last moment.
    pub period: (Instant, Instant),
    /// Sites on the two sides.
    pub between: (Vec<Site>, Vec<Site>),
    /// What happens from the first side to the second one.
    pub forward: Option<Link>,
    /// What happens from the second side to the first one.
    pub backward: Option<Link>,
}

impl Fault {
    /// Both directions are cut.
    pub fn cut(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>) -> Self {
        Self { period, between: (one, other), forward: Some(Link::Drop), backward: Some(Link::Drop) }
    }

    /// Both sides are told at once that nothing was accepted.
    pub fn refuse(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>) -> Self {
        Self { forward: Some(Link::Refuse), backward: Some(Link::Refuse), ..Self::cut(period, one, other) }
    }

    /// Both directions take this long.
    pub fn slow(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>, delay: Duration) -> Self {
        let link = Some(Link::Deliver(delay));
        Self { forward: link, backward: link, ..Self::cut(period, one, other) }
    }

    /// Only the direction from the second side to the first one is cut, so answers are lost.
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

/// A link with these faults; the first that applies decides. Other delays vary, so that messages overtake each other.
pub fn faulty_link(faults: Vec<Fault>) -> impl Fn(Instant, Site, Site) -> Link {
    const JITTER_US: u64 = 4_000;
    move |now, from, to| {
        let effect = faults.iter().find_map(|fault| fault.effect_on(now, from, to));
        let jitter_us = hash::numbers([now.0, from.hash_input(), to.hash_input()]) % JITTER_US;
        effect.unwrap_or(Link::Deliver(ONE_WAY_DELAY + Duration::from_micros(jitter_us)))
    }
}
