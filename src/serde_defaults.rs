//! Conditions under which optional fields of stored and sent forms are left out.

/// Returns whether a count is zero, so that it is left out.
pub fn is_zero(count: &u64) -> bool {
    *count == 0
}
