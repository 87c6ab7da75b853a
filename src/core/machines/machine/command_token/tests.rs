use super::*;
use crate::ids::{Attempt, TaskId};
use crate::wire::ExitReason;

const LEASE_S: Time = 10.0;

fn key(index: u32) -> AttemptKey {
    let job = "req-1".into();
    (TaskId { job, index }, Attempt(7))
}

/// A machine with exits that may be forgotten, whose starts were sent under its present token.
fn machine_with_exits(raises: u64, exits: usize) -> Machine {
    let mut machine = Machine::new("m-1".into(), FencingToken(9), 0.0);
    machine.change_owner(FencingToken(9), raises, true, 0.0);
    let keys: BTreeSet<AttemptKey> = (0..).map(key).take(exits).collect();
    for key in &keys {
        machine
            .attempts
            .insert(key.clone(), TrackedAttempt::new(0.0));
    }
    machine.record_starts(&keys);
    exit_all(&mut machine);
    machine
}

fn exit_all(machine: &mut Machine) {
    for tracked in machine.attempts.values_mut() {
        tracked.phase = Phase::Exited(ExitReason::Error);
        tracked.may_forget = true;
    }
}

fn may_forget(machine: &Machine, index: u32) -> bool {
    machine.may_forget(machine.attempts.get(&key(index)).unwrap())
}

#[test]
fn an_exit_is_forgotten_only_under_a_higher_token_than_its_start() {
    let mut machine = machine_with_exits(3, 1);
    assert!(!may_forget(&machine, 0));
    machine.raise_command_token_if_needed(LEASE_S, 1.0);
    assert_eq!(machine.command_tokens.current(), FencingToken(10));
    assert!(may_forget(&machine, 0));
}

#[test]
fn a_start_that_is_sent_again_needs_a_higher_token_again() {
    let mut machine = machine_with_exits(3, 1);
    machine.raise_command_token_if_needed(LEASE_S, 1.0);
    machine.record_starts(&[key(0)].into());
    assert!(!may_forget(&machine, 0));
}

#[test]
fn the_exit_of_an_earlier_assignment_is_forgotten_without_a_raise() {
    let mut machine = machine_with_exits(3, 1);
    machine.change_owner(FencingToken(40), 0, true, 1.0);
    assert!(may_forget(&machine, 0));
    machine.raise_command_token_if_needed(LEASE_S, 1.0);
    assert_eq!(machine.command_tokens.current(), FencingToken(40));
    assert!(!machine.needs_new_token);
}

#[test]
fn the_token_is_raised_once_in_half_a_lease_unless_many_exits_wait() {
    let mut machine = machine_with_exits(3, 1);
    machine.raise_command_token_if_needed(LEASE_S, 1.0);
    machine.record_starts(&[key(0)].into());
    machine.raise_command_token_if_needed(LEASE_S, 5.9);
    assert_eq!(machine.command_tokens.current(), FencingToken(10));
    machine.raise_command_token_if_needed(LEASE_S, 6.0);
    assert_eq!(machine.command_tokens.current(), FencingToken(11));

    let mut machine = machine_with_exits(3, MAX_UNFENCED_EXITS);
    machine.raise_command_token_if_needed(LEASE_S, 1.0);
    machine.record_starts(&(0..).map(key).take(MAX_UNFENCED_EXITS).collect());
    machine.raise_command_token_if_needed(LEASE_S, 1.5);
    assert_eq!(machine.command_tokens.current(), FencingToken(11));
}

/// Without a range, as when a leader of an earlier release assigned the machine, exits are kept.
#[test]
fn a_new_token_is_requested_when_many_exits_wait_and_the_range_is_used_up() {
    let mut machine = machine_with_exits(0, MAX_UNFENCED_EXITS - 1);
    machine.raise_command_token_if_needed(LEASE_S, 1.0);
    assert!(!machine.needs_new_token);
    let mut machine = machine_with_exits(0, MAX_UNFENCED_EXITS);
    machine.raise_command_token_if_needed(LEASE_S, 1.0);
    assert_eq!(machine.command_tokens.current(), FencingToken(9));
    assert!(machine.needs_new_token);
}

#[test]
fn tokens_of_the_range_up_to_the_one_in_use_belong_to_the_assignment() {
    let mut machine = machine_with_exits(3, 1);
    machine.raise_command_token_if_needed(LEASE_S, 1.0);
    let shown = |token| machine.command_tokens.include(FencingToken(token));
    assert_eq!([8, 9, 10, 11].map(shown), [false, true, true, false]);
}
