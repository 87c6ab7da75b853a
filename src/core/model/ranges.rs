//! Sets of task indexes, stored as ranges so that the progress records of large job arrays stay small.

use serde::{Deserialize, Serialize};

/// A set of task indexes, stored as ascending, disjoint, inclusive ranges that are not adjacent to each
/// other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskIndexRanges(Vec<(u32, u32)>);

impl TaskIndexRanges {
    /// Whether the set contains an index.
    pub fn contains(&self, index: u32) -> bool {
        let at = self.0.partition_point(|&(_, end)| end < index);
        self.0.get(at).is_some_and(|&(start, _)| start <= index)
    }

    /// Adds an index, and merges the ranges that become adjacent.
    pub fn insert(&mut self, index: u32) {
        let at = self.0.partition_point(|&(_, end)| end < index);
        if self.0.get(at).is_some_and(|&(start, _)| start <= index) {
            return;
        }
        let (before, after) = self.0.split_at_mut(at);
        let before = before.last_mut().filter(|(_, end)| *end + 1 == index);
        // A range after `index` starts above it, so its start is at least 1.
        let after = after.first_mut().filter(|(start, _)| *start - 1 == index);
        match (before, after) {
            (Some((_, before_end)), Some((_, after_end))) => {
                *before_end = *after_end;
                self.0.remove(at);
            }
            (Some((_, end)), None) => *end = index,
            (None, Some((start, _))) => *start = index,
            (None, None) => self.0.insert(at, (index, index)),
        }
    }

    /// Number of indexes in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|&(start, end)| end - start + 1).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes the smallest ranges until at most `count` remain. This loses recorded progress only: the
    /// worker that finished such a task reports it again on request.
    pub fn keep_largest(&mut self, count: usize) {
        if self.0.len() > count {
            self.0
                .sort_by_key(|&(start, end)| std::cmp::Reverse(end - start));
            self.0.truncate(count);
            self.0.sort_unstable();
        }
    }
}

#[cfg(test)]
mod tests;
