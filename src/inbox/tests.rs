use super::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

/// Polls a future once; `None` if it has to wait.
fn poll_once<T>(future: impl Future<Output = T>) -> Option<T> {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(answer) => Some(answer),
        Poll::Pending => None,
    }
}

fn user_request() -> ExternalRequest {
    ExternalRequest::User(UserRequest::Poll("req-000001".into()))
}

/// While the core takes no inputs, users' requests are rejected first, then health checks and heartbeats,
/// then siblings' messages, each without a wait. Once the core takes inputs, there is capacity again.
#[tokio::test(flavor = "current_thread")]
async fn a_full_inbox_rejects_users_first_and_siblings_last() {
    let (queue, mut inputs) = mpsc::unbounded_channel();
    let inbox = Inbox::new(queue, 40);
    let poll = || MeshMessage::Poll("req-000001".into());
    let fill =
        |count: usize| (0..count).all(|_| poll_once(inbox.submit_mesh_message(poll())).is_none());
    assert!(fill(19));
    assert!(
        poll_once(inbox.submit_request(user_request())).is_none(),
        "the request waits for its answer"
    );
    let rejected =
        poll_once(inbox.submit_request(user_request())).expect("half of the queue is full");
    assert_eq!((rejected.status, rejected.retry_after), (503, Some(1)));
    assert!(poll_once(inbox.submit_request(ExternalRequest::Health)).is_none());
    assert!(fill(9));
    assert_eq!(
        poll_once(inbox.submit_request(ExternalRequest::Health)).map(|answer| answer.status),
        Some(503)
    );
    assert!(fill(10));
    assert!(poll_once(inbox.submit_mesh_message(poll())).is_some_and(|reply| reply.is_none()));
    let mut batch = Vec::new();
    inputs.recv_many(&mut batch, 40).await;
    assert_eq!(batch.len(), 40);
    inbox.record_taken_batch(&batch);
    assert!(
        poll_once(inbox.submit_request(user_request())).is_none(),
        "the queue has capacity again"
    );
}
