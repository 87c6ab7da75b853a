use super::*;

#[test]
fn lines_about_commands_are_limited_and_those_left_out_are_counted() {
    let mut log = DecisionLog::new(0.0);
    let written = (0..1000).filter(|_| log.permits_line(0.5)).count();
    assert_eq!(written as f64, COMMAND_LINES_PER_S);
    assert_eq!(log.left_out, 1000 - written as u64);
    assert!(log.permits_line(1.5));
    assert_eq!(log.left_out, 0);
}

#[test]
fn a_line_names_the_first_attempts_and_counts_all() {
    let stop = |index: u32| Command::Stop {
        task: format!("req-1/{index}"),
        attempt: Attempt(7),
        grace_s: 0.0,
    };
    let commands: Vec<Command> = (0..6).map(stop).collect();
    let text = describe(&commands, |command| match command {
        Command::Stop { task, attempt, .. } => Some((task, *attempt)),
        _ => None,
    });
    assert_eq!(text, "6: req-1/0@7 req-1/1@7 req-1/2@7 req-1/3@7");
    assert_eq!(describe(&commands, |_| None), "");
}
