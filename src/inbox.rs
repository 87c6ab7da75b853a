//! The bounded queue of inputs to the core, and the way of its answers back to those who wait for them.
//!
//! When the core falls behind, requests are refused by kind: those of users first, then heartbeats,
//! health checks and operators' requests, then messages of siblings. A refused request is answered at
//! once with the time after which to retry. Replies to this process's own calls, lease renewals among them,
//! are never refused: there are only as many as there are calls.

use crate::core::effects::{Answer, Input, RequestId, UserRequest};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::wire::Heartbeat;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// How full the queue may be, as a fraction of its capacity, for users' requests to be accepted.
const USER_ADMISSION: f64 = 0.5;
/// The same for heartbeats, health checks and operators' requests.
const HEARTBEAT_ADMISSION: f64 = 0.75;
/// The same for siblings' messages.
const SIBLING_ADMISSION: f64 = 1.0;
/// Users' requests that may wait for an answer at the same time, as a fraction of the limit on sockets.
const PENDING_USERS_FRACTION: f64 = 0.5;
/// Users' requests that may wait however low the limit on sockets is.
const MIN_PENDING_USERS: usize = 8;
/// How long an answer is waited for. The core answers or gives up every request long before.
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
    /// How full the queue may be for this request to be accepted.
    fn admission(&self) -> f64 {
        match self {
            Self::User(_) => USER_ADMISSION,
            Self::Heartbeat(_) | Self::Health | Self::Status => HEARTBEAT_ADMISSION,
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

/// The queue as listeners use it, and the requests that wait for their answers.
pub struct Inbox {
    queue: mpsc::UnboundedSender<Input>,
    /// How many requests may be queued. Replies to own calls do not count.
    capacity: usize,
    /// Requests that are in the queue now.
    queued: Cell<usize>,
    last_id: Cell<u64>,
    pending: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    pending_mesh: RefCell<HashMap<RequestId, oneshot::Sender<MeshReply>>>,
    pending_users: Cell<usize>,
    max_pending_users: usize,
}

impl Inbox {
    /// An inbox that feeds `queue`, with bounds in proportion to the limit on sockets.
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

    /// Passes a request to the core and waits for its answer. Over the bounds the answer says at once when
    /// to retry.
    pub async fn request(&self, request: ExternalRequest) -> Answer {
        let is_user = request.is_user();
        let too_many_users = is_user && self.pending_users.get() >= self.max_pending_users;
        if too_many_users || !self.admits(request.admission()) {
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

    /// Passes a sibling's message to the core and waits for its reply; `None` over the bounds, or if the
    /// core gives none in time.
    pub async fn mesh_request(&self, message: MeshMessage) -> Option<MeshReply> {
        if !self.admits(SIBLING_ADMISSION) {
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

    /// Records that the core has taken a batch out of the queue.
    pub fn record_taken_batch(&self, batch: &[Input]) {
        let requests = batch.iter().filter(|input| input.is_request()).count();
        self.queued.set(self.queued.get().saturating_sub(requests));
    }

    /// Passes the core's answer to the request that waits for it. If it no longer waits, nothing happens.
    pub fn answer(&self, id: RequestId, answer: Answer) {
        if let Some(sender) = self.pending.borrow_mut().remove(&id) {
            sender.send(answer).ok();
        }
    }

    /// Passes the core's reply to the sibling that waits for it. If it no longer waits, nothing happens.
    pub fn answer_mesh(&self, id: RequestId, reply: MeshReply) {
        if let Some(sender) = self.pending_mesh.borrow_mut().remove(&id) {
            sender.send(reply).ok();
        }
    }

    fn admits(&self, admission: f64) -> bool {
        (self.queued.get() as f64) < self.capacity as f64 * admission
    }

    /// Adds an input to the queue; false once the process is shutting down.
    fn enqueue(&self, input: Input) -> bool {
        self.queued.set(self.queued.get() + 1);
        self.queue.send(input).is_ok()
    }
}

/// A request that waits for its answer. However the wait ends, also if the client disconnects, dropping
/// this removes every trace of the request from the inbox.
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
        // Never below zero: `new` added what is subtracted here.
        let users = self.inbox.pending_users.get() - usize::from(self.is_user);
        self.inbox.pending_users.set(users);
    }
}

#[cfg(test)]
mod tests;
