use super::*;

/// A stage that is read back as another one would send operators to the wrong part of the program.
#[test]
fn each_stage_is_read_back_as_entered() {
    let progress = StepProgress::default();
    assert_eq!(progress.stage(), StepStage::Idle);
    for (index, stage) in StepStage::ALL.into_iter().enumerate() {
        assert_eq!(stage as usize, index);
        progress.enter(stage);
        assert_eq!(progress.stage(), stage);
    }
}
