use super::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

/// The answer, if it is given without waiting.
fn at_once<T>(future: impl Future<Output = T>) -> Option<T> {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(answer) => Some(answer),
        Poll::Pending => None,
    }
}

fn user() -> ExternalRequest {
    ExternalRequest::User(UserRequest::Poll("req-000001".into()))
}

/// While the core does not take its inputs, users are refused first, then health checks and heartbeats,
/// then siblings, each at once; inputs that it takes free their places.
#[tokio::test(flavor = "current_thread")]
async fn a_full_inbox_refuses_users_first_and_siblings_last() {
    let (queue, mut inputs) = mpsc::unbounded_channel();
    let inbox = Inbox::new(queue, 40);
    let poll = || MeshMessage::Poll("req-000001".into());
    let fill = |count: usize| (0..count).all(|_| at_once(inbox.mesh_request(poll())).is_none());
    assert!(fill(19));
    assert!(
        at_once(inbox.request(user())).is_none(),
        "waits for its answer"
    );
    let refused = at_once(inbox.request(user())).expect("half is full");
    assert_eq!((refused.status, refused.retry_after), (503, Some(1)));
    assert!(at_once(inbox.request(ExternalRequest::Health)).is_none());
    assert!(fill(9));
    assert_eq!(
        at_once(inbox.request(ExternalRequest::Health)).map(|answer| answer.status),
        Some(503)
    );
    assert!(fill(10));
    assert!(at_once(inbox.mesh_request(poll())).is_some_and(|reply| reply.is_none()));
    let mut batch = Vec::new();
    inputs.recv_many(&mut batch, 40).await;
    assert_eq!(batch.len(), 40);
    inbox.record_taken_batch(&batch);
    assert!(
        at_once(inbox.request(user())).is_none(),
        "there is room again"
    );
}
