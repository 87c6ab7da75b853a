use super::*;

#[test]
fn only_a_step_that_runs_across_checks_is_reported() {
    let progress = StepProgress::default();
    let mut watch = StepWatch::default();
    assert_eq!(watch.check(&progress), None, "idle");
    for _ in 0..3 {
        progress.begin_step();
        progress.enter(StepStage::StoreReply);
        assert_eq!(watch.check(&progress), None, "a new step at each check");
    }
    let reports: Vec<_> = (0..8).map(|_| watch.check(&progress)).collect();
    let expected = [Some(1), Some(2), None, Some(4), None, None, None, Some(8)];
    assert_eq!(reports, expected);
    progress.enter(StepStage::Idle);
    assert_eq!(watch.check(&progress), None, "the step has ended");
}
