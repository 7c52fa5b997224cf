//! Simulated sessions without faults.

mod deployment;

use std::time::Duration;

use deployment::{EXTRA, apply, at, started};
use nutmegfold::core::admin::Answer;
use nutmegfold::core::exchange::Completion;

/// Guards against declared tasks that do not run or run twice, overcommitted workers and requests without a response.
#[test]
fn declared_work_runs() {
    let mut session = started(1);
    session.run_until(at(120.0));
    let counts = session.shared.audit.counts();
    assert_eq!((counts.tasks_finished, counts.tasks_started), (180, 180));
    assert_eq!((counts.tasks_run_twice, counts.slots_overcommitted), (0, 0));
    let ticket = session.request(0, "quotes", "/quote");
    session.run_for(Duration::from_secs(1));
    assert_eq!(session.completions.get(&ticket), Some(&Completion::Deliver { attempt: 1 }));
}

/// Guards against a document that is applied under another name than the one it declares.
#[test]
fn document_is_applied_under_its_own_name_only() {
    let mut session = started(2);
    let ticket = session.command(0, apply("other", EXTRA, "anna"));
    session.run_for(Duration::from_secs(1));
    let answer = session.answers.get(&ticket);
    assert!(matches!(answer, Some(Answer::Invalid(findings)) if findings[0].key == "name"), "{answer:?}");
}
