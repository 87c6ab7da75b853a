//! The bounded way to the owner of the state, and back to those who wait for its answers.
//!
//! What waits to be taken is bounded. When the owner falls behind, users are refused first, then
//! workers' reports and health checks, then siblings, each at once with when to come back. Replies
//! to this process's own calls, lease renewals among them, are never refused: there are only as many
//! as there are calls.

use crate::core::effects::{Answer, Input, RequestId, UserRequest};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::wire::Heartbeat;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Parts of the queue's capacity up to which each kind of input is let in.
const USERS_UP_TO: f64 = 0.5;
const REPORTS_UP_TO: f64 = 0.75;
const SIBLINGS_UP_TO: f64 = 1.0;
/// Users' requests that may wait for an answer at once, as a part of the limit on sockets.
const WAITING_USERS: f64 = 0.5;
/// Users' requests that may always wait.
const LEAST_WAITING_USERS: usize = 8;
/// How long an answer is waited for; the core gives up on every request long before.
const PATIENCE: Duration = Duration::from_secs(3);

/// What a listener asks the owner of the state.
pub enum Question {
    /// A user's request.
    User(UserRequest),
    /// A worker's report.
    Heartbeat(Box<Heartbeat>),
    /// A health check.
    Health,
    /// An operator's question.
    Status,
}

impl Question {
    /// The part of the queue's capacity up to which it is let in.
    fn admitted_up_to(&self) -> f64 {
        match self {
            Self::User(_) => USERS_UP_TO,
            Self::Heartbeat(_) | Self::Health | Self::Status => REPORTS_UP_TO,
        }
    }
}

/// Where listeners put their questions.
pub struct Inbox {
    queue: mpsc::UnboundedSender<Input>,
    /// Inputs that wait to be taken at most, replies to own calls aside.
    capacity: usize,
    next: Cell<u64>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    mesh_waiting: RefCell<HashMap<RequestId, oneshot::Sender<MeshReply>>>,
    waiting_users: Cell<usize>,
    most_waiting_users: usize,
    /// Questions in the queue that have not been taken yet.
    queued: Cell<usize>,
}

impl Inbox {
    /// An inbox that feeds `queue`, with bounds in proportion to the limit on sockets.
    pub fn new(queue: mpsc::UnboundedSender<Input>, fd_limit: usize) -> Self {
        let most_waiting_users = (fd_limit as f64 * WAITING_USERS) as usize;
        Self {
            queue,
            capacity: fd_limit,
            next: Cell::new(0),
            waiting: RefCell::default(),
            mesh_waiting: RefCell::default(),
            waiting_users: Cell::new(0),
            most_waiting_users: most_waiting_users.max(LEAST_WAITING_USERS),
            queued: Cell::new(0),
        }
    }

    /// Asks the owner of the state; over the bounds the answer is at once when to come back.
    pub async fn ask(&self, question: Question) -> Answer {
        let user = matches!(question, Question::User(_));
        let too_many = user && self.waiting_users.get() >= self.most_waiting_users;
        if too_many || !self.admits(question.admitted_up_to()) {
            return Answer::unavailable();
        }
        let request = self.next();
        let input = match question {
            Question::User(what) => Input::User(request, what),
            Question::Heartbeat(heartbeat) => Input::Heartbeat(request, *heartbeat),
            Question::Health => Input::Health(request),
            Question::Status => Input::Status(request),
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(request, sender);
        let _waiting = Waiting {
            inbox: self,
            request,
            user,
        };
        self.waiting_users
            .set(self.waiting_users.get() + usize::from(user));
        if !self.put(input) {
            return Answer::unavailable();
        }
        match timeout(PATIENCE, receiver).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::unavailable(),
        }
    }

    /// Hands a sibling's message to the owner of the state; nothing over the bounds.
    pub async fn ask_mesh(&self, message: MeshMessage) -> Option<MeshReply> {
        if !self.admits(SIBLINGS_UP_TO) {
            return None;
        }
        let request = self.next();
        let (sender, receiver) = oneshot::channel();
        self.mesh_waiting.borrow_mut().insert(request, sender);
        let _waiting = Waiting {
            inbox: self,
            request,
            user: false,
        };
        if !self.put(Input::Mesh(request, message)) {
            return None;
        }
        timeout(PATIENCE, receiver).await.ok()?.ok()
    }

    /// The owner has taken a batch out of the queue.
    pub fn taken(&self, batch: &[Input]) {
        let questions = batch.iter().filter(|input| input.is_question()).count();
        self.queued.set(self.queued.get().saturating_sub(questions));
    }

    /// Hands an answer to whoever waits for it, unless that has gone away.
    pub fn answer(&self, request: RequestId, answer: Answer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&request) {
            waiting.send(answer).ok();
        }
    }

    /// Hands a reply to the sibling that waits for it, unless that has gone away.
    pub fn answer_mesh(&self, request: RequestId, reply: MeshReply) {
        if let Some(waiting) = self.mesh_waiting.borrow_mut().remove(&request) {
            waiting.send(reply).ok();
        }
    }

    fn admits(&self, up_to: f64) -> bool {
        (self.queued.get() as f64) < self.capacity as f64 * up_to
    }

    fn next(&self) -> RequestId {
        self.next.set(self.next.get() + 1);
        RequestId(self.next.get())
    }

    fn put(&self, input: Input) -> bool {
        self.queued.set(self.queued.get() + 1);
        self.queue.send(input).is_ok()
    }
}

/// Whoever stops waiting, also by going away, leaves nothing behind.
struct Waiting<'a> {
    inbox: &'a Inbox,
    request: RequestId,
    user: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.inbox.waiting.borrow_mut().remove(&self.request);
        self.inbox.mesh_waiting.borrow_mut().remove(&self.request);
        let users = self.inbox.waiting_users.get() - usize::from(self.user);
        self.inbox.waiting_users.set(users);
    }
}

#[cfg(test)]
mod tests;
