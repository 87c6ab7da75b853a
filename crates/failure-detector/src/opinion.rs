//! Opinions on a third controller, which observers exchange. They serve the same purpose as the indirect
//! probes of SWIM.

use crate::{Incarnation, Seconds};
use serde::{Deserialize, Serialize};

/// One observer's opinion on a controller, as it is sent to other observers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Opinion<C> {
    /// Controller that the opinion concerns.
    #[serde(rename = "c")]
    pub controller: C,
    /// Process of the controller that last answered the observer. None if none has.
    #[serde(rename = "i")]
    pub incarnation: Option<Incarnation>,
    /// How long the controller's answers had been missing when the opinion was sent.
    #[serde(rename = "s")]
    pub silence_s: Seconds,
    /// Whether the observer suspects that the controller has failed.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspects: bool,
}

/// The last opinion on a controller that was received from one observer, for display.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedOpinion<C> {
    /// Observer that sent the opinion.
    pub observer: C,
    /// Whether the observer suspected that the controller had failed.
    pub suspects: bool,
    /// How long the controller's answers had been missing when the opinion was sent.
    pub silence_s: Seconds,
    /// How long ago the opinion was received.
    pub age_s: Seconds,
}

/// An opinion on one controller as the detector stores it, keyed by the observer that sent it.
#[derive(Clone, Copy, Debug)]
pub struct StoredOpinion {
    /// Whether the observer suspected that the controller had failed.
    pub suspects: bool,
    /// How long the controller's answers had been missing when the opinion was sent.
    pub silence_s: Seconds,
    /// When the opinion was received.
    pub received_at: Seconds,
}
