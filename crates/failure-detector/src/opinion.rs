//! What observers tell one another about a third controller: the indirect probe.

use crate::{Incarnation, Seconds};
use serde::{Deserialize, Serialize};

/// One observer's judgement of a controller, as it is sent to other observers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Opinion<C> {
    /// The controller that is judged.
    #[serde(rename = "c")]
    pub controller: C,
    /// The process of it that last answered the observer.
    #[serde(rename = "i")]
    pub incarnation: Option<Incarnation>,
    /// How long its answers had been missing when the opinion was sent.
    #[serde(rename = "s")]
    pub silence_s: Seconds,
    /// Whether the observer suspects it.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspects: bool,
}

/// The last opinion on a controller that was received from one observer.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedOpinion<C> {
    /// The observer that sent it.
    pub observer: C,
    /// Whether the observer suspects the controller.
    pub suspects: bool,
    /// How long the controller's answers had been missing when the opinion was sent.
    pub silence_s: Seconds,
    /// How long ago it was received.
    pub age_s: Seconds,
}

/// An opinion as a peer's record keeps it.
#[derive(Clone, Copy, Debug)]
pub struct StoredOpinion {
    /// Whether the observer suspects the controller.
    pub suspects: bool,
    /// How long the controller's answers had been missing when the opinion was sent.
    pub silence_s: Seconds,
    /// When it was received.
    pub received_at: Seconds,
}
