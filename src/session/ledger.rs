//! Ledger of a session: the requests and changes that were sent, and the violations found.
//!
//! The completion of a request is checked when it arrives. [`Ledger::completion_violations`] compares the completions
//! of all requests with the executions.

use super::Token;
use crate::core::admin::{Command, Ticket as CommandTicket};
use crate::core::exchange::{Completion, Key, Request, Ticket};
use crate::hash::{Map, Set};

/// A request that was sent to an entry VM.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Number of the entry VM.
    pub entry_vm: u16,
    /// Ticket of the caller's request. It differs from the request's own ticket if the request was forwarded.
    pub original_ticket: Ticket,
    /// The request.
    pub request: Request,
    /// Whether the request is not idempotent, so that it must not be executed twice.
    pub is_at_most_once: bool,
}

/// A forwarded request, with the data to return its completion.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forwarding {
    pub token: Token,
    /// Entry VM that received the forwarded request, and entry VM that forwarded it.
    pub return_path: (u16, u16),
    /// Ticket of the request at the entry VM that forwarded it.
    pub outer_ticket: Ticket,
    pub exchange: Key,
    pub attempt: u32,
}

/// A configuration change that an operator applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the document.
    pub name: String,
    /// Author. It identifies the change, so each change needs its own.
    pub author: String,
}

/// Requests, changes and violations of a session.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Changes that operators sent, by the ticket of the command.
    pub changes: Map<CommandTicket, Change>,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
    /// All requests, also those that entry VMs forward, by their own ticket.
    requests: Map<Ticket, SentRequest>,
    forwardings: Map<Ticket, Forwarding>,
    /// Requests that need no completion: lost on the link, or sent to a process that did not listen or was killed.
    exempted: Set<Ticket>,
    /// Number of executions, by the ticket of the caller's request.
    executions: Map<Ticket, u32>,
    /// Attempts whose response the link delivers, by ticket and number of the attempt.
    answered_attempts: Set<(Ticket, u32)>,
}

impl Ledger {
    /// Records a violated invariant.
    pub(super) fn record_violation(&mut self, description: String) {
        self.violations.push(description);
    }

    pub(super) fn record_request(&mut self, ticket: Ticket, request: SentRequest) {
        self.requests.insert(ticket, request);
    }

    pub(super) fn sent_request(&self, ticket: Ticket) -> Option<&SentRequest> {
        self.requests.get(&ticket)
    }

    pub(super) fn record_command(&mut self, ticket: CommandTicket, command: &Command) {
        if let Command::Apply { name, author, .. } = command {
            self.changes.insert(ticket, Change { name: name.clone(), author: author.clone() });
        }
    }

    pub(super) fn record_forwarding(&mut self, ticket: Ticket, forwarding: Forwarding) {
        self.forwardings.insert(ticket, forwarding);
    }

    pub(super) fn forwarding(&self, ticket: Ticket) -> Option<Forwarding> {
        self.forwardings.get(&ticket).copied()
    }

    /// Records that a request needs no completion.
    pub(super) fn exempt(&mut self, ticket: Ticket) {
        self.exempted.insert(ticket);
    }

    /// Records that the open requests of an entry VM need no completion because its process was killed.
    pub(super) fn exempt_pending(&mut self, entry_vm: u16, completions: &Map<Ticket, Completion>) {
        let lost = self
            .requests
            .iter()
            .filter(|(ticket, request)| request.entry_vm == entry_vm && !completions.contains_key(ticket));
        self.exempted.extend(lost.map(|(ticket, _)| *ticket));
    }

    /// Identity of a non-idempotent request, by which the workers' audit detects a second execution; `None` for other
    /// requests.
    pub(super) fn audit_id(&self, ticket: Ticket) -> Option<String> {
        self.sent_request(ticket)
            .filter(|request| request.is_at_most_once)
            .map(|request| request.original_ticket.0.to_string())
    }

    pub(super) fn record_execution(&mut self, ticket: Ticket) {
        if let Some(original_ticket) = self.requests.get(&ticket).map(|request| request.original_ticket) {
            *self.executions.entry(original_ticket).or_default() += 1;
        }
    }

    pub(super) fn record_answer(&mut self, ticket: Ticket, attempt: u32) {
        self.answered_attempts.insert((ticket, attempt));
    }

    pub(super) fn check_completion(
        &mut self,
        ticket: Ticket,
        completion: Completion,
        previous: Option<Completion>,
    ) {
        if let Some(previous) = previous {
            self.record_violation(format!(
                "request {} completed twice: {previous:?}, then {completion:?}",
                ticket.0
            ));
        }
        if let Completion::Deliver { attempt } = completion
            && !self.answered_attempts.contains(&(ticket, attempt))
        {
            self.record_violation(format!(
                "request {} got a response of attempt {attempt}, which had none",
                ticket.0
            ));
        }
    }

    /// Requests that have no completion although they need one, or that were refused although they were executed.
    pub fn completion_violations(&self, completions: &Map<Ticket, Completion>) -> Vec<String> {
        let mut violations = Vec::new();
        for (ticket, request) in &self.requests {
            let is_executed = request.original_ticket == *ticket && self.executions.contains_key(ticket);
            match completions.get(ticket) {
                Some(Completion::NotRun { refusal, .. }) if is_executed => {
                    violations.push(format!("request {} was refused ({refusal:?}), but executed", ticket.0));
                }
                None if !self.exempted.contains(ticket) => {
                    violations.push(format!("request {} got no completion", ticket.0));
                }
                _ => {}
            }
        }
        violations.sort_unstable();
        violations
    }
}
