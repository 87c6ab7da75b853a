//! Sets of task numbers as ranges, so that the progress of large arrays stays small.

use serde::{Deserialize, Serialize};

/// Ascending, disjoint, inclusive ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    pub fn contains(&self, index: u32) -> bool {
        let at = self.0.partition_point(|&(_, end)| end < index);
        self.0.get(at).is_some_and(|&(start, _)| start <= index)
    }

    pub fn insert(&mut self, index: u32) {
        let at = self.0.partition_point(|&(_, end)| end < index);
        if self.0.get(at).is_some_and(|&(start, _)| start <= index) {
            return;
        }
        let joins_before = at > 0 && self.0[at - 1].1 + 1 == index;
        let joins_after = self.0.get(at).is_some_and(|&(start, _)| start == index + 1);
        match (joins_before, joins_after) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = index,
            (false, true) => self.0[at].0 = index,
            (false, false) => self.0.insert(at, (index, index)),
        }
    }

    pub fn len(&self) -> u32 {
        self.0.iter().map(|&(start, end)| end - start + 1).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops the smallest ranges until at most `count` are left. What is dropped is only
    /// forgotten progress: the worker that finished such a task says so again when asked.
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
