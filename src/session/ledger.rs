//! What callers and operators asked in a session, and what became of it.

use super::Token;
use crate::core::admin::{Command, Ticket as Order};
use crate::core::exchange::{Completion, Key, Request, Ticket};
use crate::hash::{Map, Set};

/// A request that was sent to an entry VM.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The entry VM.
    pub to: u16,
    /// Ticket of the caller's request; another one than its own if the request was forwarded.
    pub origin: Ticket,
    /// The request.
    pub request: Request,
    /// Whether it must not be executed again.
    pub once: bool,
}

/// Where the completion of a forwarded request goes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    pub token: Token,
    /// From this entry VM to that one.
    pub back: (u16, u16),
    /// Ticket at the entry VM that forwarded it.
    pub outer: Ticket,
    pub exchange: Key,
    pub attempt: u32,
}

/// An operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Document.
    pub name: String,
    /// Author, another one for each change.
    pub author: String,
}

/// Books of a session.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Changes that operators asked for.
    pub changes: Map<Order, Change>,
    /// Broken promises, in words.
    pub faults: Vec<String>,
    asked: Map<Ticket, Asked>,
    relays: Map<Ticket, Relay>,
    /// Requests to a process that did not listen or was killed.
    excused: Set<Ticket>,
    /// Executions by the caller's ticket.
    executed: Map<Ticket, u32>,
    answered: Set<(Ticket, u32)>,
}

impl Ledger {
    /// Notes a broken promise.
    pub(super) fn fault(&mut self, words: String) {
        self.faults.push(words);
    }

    pub(super) fn ask(&mut self, ticket: Ticket, asked: Asked) {
        self.asked.insert(ticket, asked);
    }

    pub(super) fn asked(&self, ticket: Ticket) -> Option<&Asked> {
        self.asked.get(&ticket)
    }

    pub(super) fn command(&mut self, ticket: Order, command: &Command) {
        if let Command::Apply { name, author, .. } = command {
            self.changes.insert(ticket, Change { name: name.clone(), author: author.clone() });
        }
    }

    pub(super) fn relay(&mut self, ticket: Ticket, relay: Relay) {
        self.relays.insert(ticket, relay);
    }

    pub(super) fn relayed(&self, ticket: Ticket) -> Option<Relay> {
        self.relays.get(&ticket).copied()
    }

    /// No completion is due for a request.
    pub(super) fn excuse(&mut self, ticket: Ticket) {
        self.excused.insert(ticket);
    }

    /// An entry VM was killed: no completions are due for its requests.
    pub(super) fn excuse_all(&mut self, at: u16, completions: &Map<Ticket, Completion>) {
        let lost =
            self.asked.iter().filter(|(ticket, asked)| asked.to == at && !completions.contains_key(ticket));
        self.excused.extend(lost.map(|(ticket, _)| *ticket));
    }

    /// Identity for the workers' audit of a request that must not be executed again.
    pub(super) fn once(&self, ticket: Ticket) -> Option<String> {
        self.asked(ticket).filter(|asked| asked.once).map(|asked| asked.origin.0.to_string())
    }

    pub(super) fn executed(&mut self, ticket: Ticket) {
        if let Some(origin) = self.asked.get(&ticket).map(|asked| asked.origin) {
            *self.executed.entry(origin).or_default() += 1;
        }
    }

    pub(super) fn answered(&mut self, ticket: Ticket, attempt: u32) {
        self.answered.insert((ticket, attempt));
    }

    pub(super) fn concluded(&mut self, ticket: Ticket, completion: Completion, before: Option<Completion>) {
        if let Some(before) = before {
            self.fault(format!("request {} got {before:?}, then {completion:?}", ticket.0));
        }
        if let Completion::Deliver { attempt } = completion
            && !self.answered.contains(&(ticket, attempt))
        {
            self.fault(format!("request {} got an answer that attempt {attempt} did not have", ticket.0));
        }
    }

    /// Callers' requests whose completion does not fit what happened.
    pub fn unfit(&self, completions: &Map<Ticket, Completion>) -> Vec<String> {
        let mut found = Vec::new();
        for (ticket, asked) in &self.asked {
            let is_run = asked.origin == *ticket && self.executed.contains_key(ticket);
            match completions.get(ticket) {
                Some(Completion::NotRun { refusal, .. }) if is_run => {
                    found.push(format!("request {} was refused ({refusal:?}), but executed", ticket.0));
                }
                None if !self.excused.contains(ticket) => {
                    found.push(format!("request {} got no completion", ticket.0));
                }
                _ => {}
            }
        }
        found.sort_unstable();
        found
    }
}
