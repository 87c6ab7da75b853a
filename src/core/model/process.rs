use crate::ids::Node;

/// A process that some controller runs or ran.
pub type Process = (Node, u64);
