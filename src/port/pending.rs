//! Table of requests about jobs that wait for the reducer's answer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::Inbox;
use crate::core;
use crate::core::work::event::Event;
use crate::core::work::request::{Answer, Request, Ticket};
use crate::hash::Map;

/// Table of the pending requests whose answers have the type `A`; clones share their entries.
#[derive(Debug)]
pub struct Table<A = Answer> {
    inbox: Inbox,
    shared: Arc<Mutex<Entries<A>>>,
}

impl<A> Clone for Table<A> {
    fn clone(&self) -> Self {
        Self { inbox: self.inbox.clone(), shared: Arc::clone(&self.shared) }
    }
}

#[derive(Debug)]
struct Entries<A> {
    last_ticket: u64,
    by_ticket: Map<Ticket, oneshot::Sender<A>>,
}

impl Table<Answer> {
    /// Sends a request to the reducer and waits for its answer, for at most `timeout`.
    ///
    /// On a timeout the answer is [`Answer::Unknown`], since the reducer may still execute the request.
    pub async fn request(&self, request: Request, is_forwarded: bool, timeout: Duration) -> Answer {
        let event = |ticket| Event::Request { ticket, request, is_forwarded };
        self.send(event, timeout).await.unwrap_or(Answer::Unknown)
    }
}

impl<A> Table<A> {
    /// Creates a table that sends its requests to `inbox`.
    pub fn new(inbox: Inbox) -> Self {
        let entries = Entries { last_ticket: 0, by_ticket: Map::default() };
        Self { inbox, shared: Arc::new(Mutex::new(entries)) }
    }

    /// Sends an event with a new ticket to the reducer and waits for its answer, for at most `timeout`.
    pub async fn send(&self, event: impl FnOnce(Ticket) -> Event, timeout: Duration) -> Option<A> {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.insert(sender);
        let guard = Guard { table: self, ticket };
        self.inbox.send(core::event::Event::Work(event(ticket)));
        let answer = tokio::time::timeout(timeout, receiver).await;
        drop(guard);
        answer.ok()?.ok()
    }

    /// Passes an answer to the request with this ticket; it is dropped if the caller has disconnected or timed out.
    pub fn answer(&self, ticket: Ticket, answer: A) {
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

    fn insert(&self, sender: oneshot::Sender<A>) -> Ticket {
        let mut entries = self.lock();
        entries.last_ticket += 1;
        let ticket = Ticket(entries.last_ticket);
        entries.by_ticket.insert(ticket, sender);
        ticket
    }

    /// Locks the entries. Poisoning is ignored, since a panic of another thread cannot leave the entries half changed.
    fn lock(&self) -> MutexGuard<'_, Entries<A>> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that removes the entry of a request when the caller stops waiting.
struct Guard<'a, A> {
    table: &'a Table<A>,
    ticket: Ticket,
}

impl<A> Drop for Guard<'_, A> {
    fn drop(&mut self) {
        self.table.lock().by_ticket.remove(&self.ticket);
    }
}
