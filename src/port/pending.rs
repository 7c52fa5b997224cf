//! Table of requests about jobs that wait for the reducer's answer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::Inbox;
use crate::core::event::Event;
use crate::core::work;
use crate::core::work::request::{Answer, Request, Ticket};
use crate::hash::Map;

/// Table of the pending requests; clones share their entries.
#[derive(Debug, Clone)]
pub struct Table {
    inbox: Inbox,
    shared: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    last_ticket: u64,
    by_ticket: Map<Ticket, oneshot::Sender<Answer>>,
}

impl Table {
    /// Creates a table that sends its requests to `inbox`.
    pub fn new(inbox: Inbox) -> Self {
        Self { inbox, shared: Arc::default() }
    }

    /// Sends a request to the reducer and waits for its answer, for at most `timeout`.
    ///
    /// On a timeout the answer is [`Answer::Unknown`], since the reducer may still execute the request.
    pub async fn request(&self, request: Request, is_forwarded: bool, timeout: Duration) -> Answer {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.insert(sender);
        let guard = Guard { table: self, ticket };
        self.inbox.send(Event::Work(work::event::Event::Request { ticket, request, is_forwarded }));
        let answer = tokio::time::timeout(timeout, receiver).await;
        drop(guard);
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Answer::Unknown,
        }
    }

    /// Passes an answer to the request with this ticket; it is dropped if the caller has disconnected or timed out.
    pub fn answer(&self, ticket: Ticket, answer: Answer) {
        let sender = self.lock().by_ticket.remove(&ticket);
        if sender.is_none_or(|sender| sender.send(answer).is_err()) {
            log::debug!("answer to request {} dropped: its caller no longer waits", ticket.0);
        }
    }

    /// Number of pending requests.
    pub fn len(&self) -> usize {
        self.lock().by_ticket.len()
    }

    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&self, sender: oneshot::Sender<Answer>) -> Ticket {
        let mut entries = self.lock();
        entries.last_ticket += 1;
        let ticket = Ticket(entries.last_ticket);
        entries.by_ticket.insert(ticket, sender);
        ticket
    }

    /// Locks the entries. Poisoning is ignored, since a panic of another thread cannot leave the entries half changed.
    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that removes the entry of a request when the caller stops waiting.
struct Guard<'a> {
    table: &'a Table,
    ticket: Ticket,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.table.lock().by_ticket.remove(&self.ticket);
    }
}
