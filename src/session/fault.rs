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
pub const DELAY: Duration = Duration::from_millis(1);

/// Everything arrives.
pub fn healthy(_: Instant, _: Site, _: Site) -> Link {
    Link::Deliver(DELAY)
}

/// A fault for a period of time.
#[derive(Debug, Clone)]
pub struct Fault {
    /// First and last moment.
    pub period: (Instant, Instant),
    /// Sites on the two sides.
    pub between: (Vec<Site>, Vec<Site>),
    /// What happens from the first side to the second one.
    pub there: Option<Link>,
    /// What happens from the second side to the first one.
    pub back: Option<Link>,
}

impl Fault {
    /// Both directions are cut.
    pub fn cut(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>) -> Self {
        Self { period, between: (one, other), there: Some(Link::Drop), back: Some(Link::Drop) }
    }

    /// Both sides are told at once that nothing was accepted.
    pub fn refuse(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>) -> Self {
        Self { there: Some(Link::Refuse), back: Some(Link::Refuse), ..Self::cut(period, one, other) }
    }

    /// Both directions take this long.
    pub fn slow(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>, delay: Duration) -> Self {
        let link = Some(Link::Deliver(delay));
        Self { there: link, back: link, ..Self::cut(period, one, other) }
    }

    /// Only the direction from the second side to the first one is cut, so answers are lost.
    pub fn lose_answers(period: (Instant, Instant), one: Vec<Site>, other: Vec<Site>) -> Self {
        Self { there: None, ..Self::cut(period, one, other) }
    }

    fn applies(&self, now: Instant, from: Site, to: Site) -> Option<Link> {
        if now < self.period.0 || now >= self.period.1 {
            return None;
        }
        let (one, other) = &self.between;
        if one.contains(&from) && other.contains(&to) {
            return self.there;
        }
        if other.contains(&from) && one.contains(&to) {
            return self.back;
        }
        None
    }
}

/// A link with these faults; the first that applies decides. Other delays vary, so that messages overtake each other.
pub fn with(faults: Vec<Fault>) -> impl Fn(Instant, Site, Site) -> Link {
    const JITTER_US: u64 = 4_000;
    move |now, from, to| {
        let found = faults.iter().find_map(|fault| fault.applies(now, from, to));
        let draw = hash::numbers([now.0, from.number(), to.number()]) % JITTER_US;
        found.unwrap_or(Link::Deliver(DELAY + Duration::from_micros(draw)))
    }
}
