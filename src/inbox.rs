//! The bounded queue of inputs to the core, and the delivery of the core's answers to waiting requests.
//!
//! When the core falls behind, requests are rejected by kind: users' requests first, then heartbeats, health
//! checks and operators' requests, then messages of siblings. A rejected request is answered at once; the
//! answer to users and workers states when to retry. Replies to the process's own calls, such as
//! lease renewals, are never rejected: their number is bounded by the number of calls.

use crate::core::effects::{Answer, Input, RequestId, UserRequest};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::wire::Heartbeat;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Fraction of the queue's capacity up to which users' requests are accepted.
const USER_FILL_LIMIT: f64 = 0.5;
/// Fraction of the queue's capacity up to which heartbeats, health checks and operators' requests are
/// accepted.
const HEARTBEAT_FILL_LIMIT: f64 = 0.75;
/// Fraction of the queue's capacity up to which siblings' messages are accepted.
const SIBLING_FILL_LIMIT: f64 = 1.0;
/// Greatest number of users' requests that wait for an answer, as a fraction of the limit on sockets.
const PENDING_USERS_FRACTION: f64 = 0.5;
/// Lower bound of that number, however low the limit on sockets is.
const MIN_PENDING_USERS: usize = 8;
/// How long a request waits for its answer. The core answers or abandons each request long before that.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// A request from outside that the core answers with an [`Answer`].
pub enum ExternalRequest {
    /// A user's request.
    User(UserRequest),
    /// A worker's heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A health check.
    Health,
    /// An operator's request for the status.
    Status,
}

impl ExternalRequest {
    /// Fraction of the queue's capacity up to which this request is accepted.
    fn fill_limit(&self) -> f64 {
        match self {
            Self::User(_) => USER_FILL_LIMIT,
            Self::Heartbeat(_) | Self::Health | Self::Status => HEARTBEAT_FILL_LIMIT,
        }
    }

    fn is_user(&self) -> bool {
        matches!(self, Self::User(_))
    }

    fn into_input(self, id: RequestId) -> Input {
        match self {
            Self::User(request) => Input::User(id, request),
            Self::Heartbeat(heartbeat) => Input::Heartbeat(id, *heartbeat),
            Self::Health => Input::Health(id),
            Self::Status => Input::Status(id),
        }
    }
}

/// The sending end of the queue, and the requests that wait for answers.
pub struct Inbox {
    queue: mpsc::UnboundedSender<Input>,
    /// Greatest number of queued requests. Replies to the process's own calls do not count.
    capacity: usize,
    /// Number of requests in the queue.
    queued: Cell<usize>,
    last_id: Cell<u64>,
    pending: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    pending_mesh: RefCell<HashMap<RequestId, oneshot::Sender<MeshReply>>>,
    pending_users: Cell<usize>,
    max_pending_users: usize,
}

impl Inbox {
    /// Creates an inbox that feeds `queue`. Its bounds are proportional to the limit on sockets.
    pub fn new(queue: mpsc::UnboundedSender<Input>, fd_limit: usize) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a fraction of a limit on sockets, rounded down on purpose"
        )]
        let max_pending_users = (fd_limit as f64 * PENDING_USERS_FRACTION) as usize;
        Self {
            queue,
            capacity: fd_limit,
            queued: Cell::new(0),
            last_id: Cell::new(0),
            pending: RefCell::default(),
            pending_mesh: RefCell::default(),
            pending_users: Cell::new(0),
            max_pending_users: max_pending_users.max(MIN_PENDING_USERS),
        }
    }

    /// Passes a request to the core and waits for the answer. If a bound is exceeded, it returns at once an
    /// answer that states when to retry.
    pub async fn submit_request(&self, request: ExternalRequest) -> Answer {
        let is_user = request.is_user();
        let too_many_users = is_user && self.pending_users.get() >= self.max_pending_users;
        if too_many_users || !self.has_capacity(request.fill_limit()) {
            return Answer::unavailable();
        }
        let pending = PendingRequest::new(self, is_user);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(pending.id, sender);
        if !self.enqueue(request.into_input(pending.id)) {
            return Answer::unavailable();
        }
        match timeout(ANSWER_TIMEOUT, receiver).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::unavailable(),
        }
    }

    /// Passes a sibling's message to the core and waits for the reply. Returns `None` if the queue is full or
    /// the core does not reply in time.
    pub async fn submit_mesh_message(&self, message: MeshMessage) -> Option<MeshReply> {
        if !self.has_capacity(SIBLING_FILL_LIMIT) {
            return None;
        }
        let pending = PendingRequest::new(self, false);
        let (sender, receiver) = oneshot::channel();
        self.pending_mesh.borrow_mut().insert(pending.id, sender);
        if !self.enqueue(Input::Mesh(pending.id, message)) {
            return None;
        }
        timeout(ANSWER_TIMEOUT, receiver).await.ok()?.ok()
    }

    /// Removes a batch that the core has taken from the count of queued requests.
    pub fn record_taken_batch(&self, batch: &[Input]) {
        let requests = batch.iter().filter(|input| input.is_request()).count();
        self.queued.set(self.queued.get().saturating_sub(requests));
    }

    /// Passes the core's answer to the waiting request; drops it if the request no longer waits.
    pub fn deliver_answer(&self, id: RequestId, answer: Answer) {
        if let Some(sender) = self.pending.borrow_mut().remove(&id) {
            sender.send(answer).ok();
        }
    }

    /// Passes the core's reply to the waiting message of a sibling; drops it if the message no longer waits.
    pub fn deliver_mesh_reply(&self, id: RequestId, reply: MeshReply) {
        if let Some(sender) = self.pending_mesh.borrow_mut().remove(&id) {
            sender.send(reply).ok();
        }
    }

    /// Whether the queue holds less than this fraction of its capacity.
    fn has_capacity(&self, fill_limit: f64) -> bool {
        (self.queued.get() as f64) < self.capacity as f64 * fill_limit
    }

    /// Adds a request to the queue. Returns false if the process is shutting down.
    fn enqueue(&self, input: Input) -> bool {
        self.queued.set(self.queued.get() + 1);
        self.queue.send(input).is_ok()
    }
}

/// A request that waits for its answer. Dropping it removes the request from the inbox, however the wait
/// ends: with an answer, with a timeout or because the client disconnected.
struct PendingRequest<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    is_user: bool,
}

impl<'a> PendingRequest<'a> {
    fn new(inbox: &'a Inbox, is_user: bool) -> Self {
        inbox.last_id.set(inbox.last_id.get() + 1);
        let users = inbox.pending_users.get() + usize::from(is_user);
        inbox.pending_users.set(users);
        Self {
            inbox,
            id: RequestId(inbox.last_id.get()),
            is_user,
        }
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.inbox.pending.borrow_mut().remove(&self.id);
        self.inbox.pending_mesh.borrow_mut().remove(&self.id);
        // This cannot underflow: `new` added the same number.
        let users = self.inbox.pending_users.get() - usize::from(self.is_user);
        self.inbox.pending_users.set(users);
    }
}

#[cfg(test)]
mod tests;
