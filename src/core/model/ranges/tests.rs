use super::*;

#[test]
fn adjacent_indexes_join_into_ranges() {
    let mut set = TaskIndexRanges::default();
    for index in [5, 1, 3, 2, 9, 4, 3] {
        set.insert(index);
    }
    assert_eq!(set.0, [(1, 5), (9, 9)]);
    assert_eq!(set.len(), 6);
    assert!(set.contains(3) && set.contains(9) && !set.contains(0) && !set.contains(7));
    set.keep_largest(1);
    assert_eq!(set.0, [(1, 5)]);
}
