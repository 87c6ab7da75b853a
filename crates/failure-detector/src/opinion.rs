//! What observers tell one another of a third controller: the indirect probe.

use crate::{Incarnation, Seconds};
use serde::{Deserialize, Serialize};

/// What one observer thinks of a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Opinion<C> {
    /// The controller that is judged.
    #[serde(rename = "c")]
    pub of: C,
    /// The process of it that the observer heard last.
    #[serde(rename = "i")]
    pub incarnation: Option<Incarnation>,
    /// How long the observer has not heard it, when this was told.
    #[serde(rename = "s")]
    pub silence_s: Seconds,
    /// Whether the observer suspects it.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspects: bool,
}

/// An opinion as it was received.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    pub incarnation: Option<Incarnation>,
    pub suspects: bool,
    pub silence_s: Seconds,
    pub at: Seconds,
}
