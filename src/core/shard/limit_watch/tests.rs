use super::*;
use crate::core::machines::machine::{Machine, Phase, TrackedAttempt};
use crate::core::model::resources::Resources;
use crate::core::test_support::shard_of_team_red;
use crate::ids::{FencingToken, TaskId};
use crate::wire::{ExitReason, TaskState};

fn limits(gpus_max: f64) -> TeamLimits {
    TeamLimits {
        name: "red".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max,
    }
}

fn running_attempt(gpus: f64) -> TrackedAttempt {
    let mut tracked = TrackedAttempt::new(0.0);
    tracked.team = Some("red".into());
    tracked.resources = Some(Resources {
        gpus,
        ..Resources::default()
    });
    tracked.phase = Phase::Seen(TaskState::Running);
    tracked
}

/// Guards against an excess that nobody is told of, and against a warning in every placement round.
#[test]
fn each_excess_of_a_limit_is_counted_once() {
    let (mut shard, _, store) = shard_of_team_red();
    let mut config = (*shard.config).clone();
    config.deployment.teams = vec![limits(3.0)];
    shard.config = config.into();
    let machine = Machine::new("m-1".into(), FencingToken(9), 0.0);
    shard.machines.insert("m-1".into(), machine);
    let task = |index| TaskId {
        job: "req-000001".into(),
        index,
    };
    let attempts = &mut shard.machines.get_mut(&"m-1".into()).unwrap().attempts;
    attempts.insert((task(0), Attempt(1)), running_attempt(2.0));
    let watch = |shard: &mut Shard| {
        let usage = shard.usage(&store, 0);
        shard.watch_limits(&usage);
        shard.limit_excesses
    };
    assert_eq!(watch(&mut shard), 0);

    let attempts = &mut shard.machines.get_mut(&"m-1".into()).unwrap().attempts;
    attempts.insert((task(1), Attempt(1)), running_attempt(2.0));
    assert_eq!(watch(&mut shard), 1);
    assert_eq!(watch(&mut shard), 1, "the same excess");

    let attempts = &mut shard.machines.get_mut(&"m-1".into()).unwrap().attempts;
    attempts.get_mut(&(task(1), Attempt(1))).unwrap().phase = Phase::Exited(ExitReason::Stopped);
    assert_eq!(watch(&mut shard), 1);
    let attempts = &mut shard.machines.get_mut(&"m-1".into()).unwrap().attempts;
    attempts.insert((task(2), Attempt(1)), running_attempt(2.0));
    assert_eq!(watch(&mut shard), 2, "another one");
}
