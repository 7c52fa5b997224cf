//! Table of the requests in flight, with their bodies and answers.
//!
//! The caller, upstream and peer ports share the table. The reducer handles only tickets and sizes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use super::Inbox;
use super::message::{Answer, Request};
use crate::core::event::Event;
use crate::core::exchange::{Completion, Ticket};
use crate::hash::Map;

/// Table of the requests in flight; clones share their entries.
#[derive(Debug, Clone, Default)]
pub struct Table {
    shared: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    last_ticket: u64,
    by_ticket: Map<Ticket, Entry>,
}

#[derive(Debug)]
struct Entry {
    request: Arc<Request>,
    answers: Vec<(u32, Answer)>,
    sender: Option<oneshot::Sender<Completion>>,
}

impl Table {
    /// Adds a request. Its entry is removed when the returned guard is dropped.
    pub fn insert(&self, request: Request, inbox: &Inbox) -> Guard {
        let (sender, receiver) = oneshot::channel();
        let mut entries = self.lock();
        entries.last_ticket += 1;
        let ticket = Ticket(entries.last_ticket);
        let entry = Entry { request: Arc::new(request), answers: Vec::new(), sender: Some(sender) };
        entries.by_ticket.insert(ticket, entry);
        drop(entries);
        Guard { table: self.clone(), inbox: inbox.clone(), ticket, receiver: Some(receiver) }
    }

    /// Request with this ticket; `None` if its caller has disconnected.
    pub fn request(&self, ticket: Ticket) -> Option<Arc<Request>> {
        self.lock().by_ticket.get(&ticket).map(|entry| Arc::clone(&entry.request))
    }

    /// Stores the answer to an attempt; the answer is dropped if the caller has disconnected.
    pub fn store_answer(&self, ticket: Ticket, attempt: u32, answer: Answer) {
        if let Some(entry) = self.lock().by_ticket.get_mut(&ticket) {
            entry.answers.push((attempt, answer));
        }
    }

    /// Passes the reducer's completion to the guard of the request; it is dropped if the caller has disconnected.
    pub fn complete(&self, ticket: Ticket, completion: Completion) {
        let sender = self.lock().by_ticket.get_mut(&ticket).and_then(|entry| entry.sender.take());
        let delivered = sender.is_some_and(|sender| sender.send(completion).is_ok());
        if !delivered {
            log::debug!("completion of request {} dropped: its caller has disconnected", ticket.0);
        }
    }

    /// Number of requests in the table.
    pub fn len(&self) -> usize {
        self.lock().by_ticket.len()
    }

    /// Whether the table has no requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Locks the entries. Poisoning is ignored, since a panic of another thread cannot leave the entries half changed.
    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of an entry of the table.
///
/// Dropping the guard removes the entry. If no completion was received by then, the reducer gets [`Event::Abandoned`].
#[derive(Debug)]
pub struct Guard {
    table: Table,
    inbox: Inbox,
    ticket: Ticket,
    receiver: Option<oneshot::Receiver<Completion>>,
}

impl Guard {
    /// Ticket of the request.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Waits for the reducer's completion; [`Completion::Unknown`] if it has already been received.
    pub async fn wait_for_completion(&mut self) -> Completion {
        let Some(receiver) = self.receiver.as_mut() else { return Completion::Unknown };
        let completion = receiver.await;
        self.receiver = None;
        completion.unwrap_or(Completion::Unknown)
    }

    /// Removes the answer to an attempt from the table and returns it; `None` if there is no such answer.
    pub fn take_answer(&self, attempt: u32) -> Option<Answer> {
        let mut entries = self.table.lock();
        let answers = &mut entries.by_ticket.get_mut(&self.ticket)?.answers;
        let index = answers.iter().position(|(number, _)| *number == attempt)?;
        Some(answers.swap_remove(index).1)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let entry = self.table.lock().by_ticket.remove(&self.ticket);
        drop(entry);
        if self.receiver.is_some() {
            self.inbox.send(Event::Abandoned(self.ticket));
        }
    }
}

#[cfg(test)]
mod tests {
    use actix_web::http::{Method, StatusCode};
    use actix_web::web::Bytes;

    use super::*;

    fn request() -> Request {
        Request {
            method: Method::GET,
            service: "quote".into(),
            path: "/".into(),
            query: None,
            headers: Vec::new(),
            body: Bytes::from_static(b"request"),
        }
    }

    fn answer(body: &'static str) -> Answer {
        Answer { status: StatusCode::OK, headers: Vec::new(), body: Bytes::from_static(body.as_bytes()) }
    }

    /// Guards against entries that remain after their caller has disconnected, and against the answer to another
    /// attempt.
    #[actix_web::test]
    async fn entries_end_with_their_guard() {
        let (inbox, mut events) = Inbox::new();
        let table = Table::default();
        let mut retained = table.insert(request(), &inbox);
        let dropped = table.insert(request(), &inbox);
        let ticket = dropped.ticket();
        table.store_answer(retained.ticket(), 1, answer("one"));
        table.store_answer(retained.ticket(), 2, answer("two"));
        drop(dropped);
        assert!(matches!(events.try_recv(), Ok(Event::Abandoned(abandoned)) if abandoned == ticket));
        table.store_answer(ticket, 1, answer("late"));
        table.complete(ticket, Completion::Unknown);
        assert_eq!(table.len(), 1);
        table.complete(retained.ticket(), Completion::Deliver { attempt: 2 });
        assert_eq!(retained.wait_for_completion().await, Completion::Deliver { attempt: 2 });
        assert_eq!(retained.take_answer(2), Some(answer("two")));
        assert_eq!(retained.take_answer(3), None);
        drop(retained);
        assert!(events.try_recv().is_err());
        assert!(table.is_empty());
    }
}
