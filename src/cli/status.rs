//! Subcommand `status`, which shows the state of entry VMs or explains the state of a task.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::{Value, json};

use super::{json, print, table};
use crate::error::{Error, Result};
use crate::port::operator::{Client, block_on, call_all, combine_errors, encode_segment};
use crate::wire::admin::{Cell, Share, Status, Why};

/// Show the state of entry VMs, or explain the state of a task.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "$ {command_name} --admin 127.0.0.1:7100 --admin 127.0.0.1:7101\n\
    $ {command_name} --admin 127.0.0.1:7100 --why weaving-roster/3",
    note = "An entry VM that does not answer is reported on stderr; the others are shown.",
    error_code(1, "No entry VM that answered knows the task."),
    error_code(2, "The command was used wrongly, or an entry VM did not answer.")
)]
pub struct Args {
    /// address of an entry VM's administration port; can be repeated
    #[argh(option, arg_name = "ADDR")]
    admin: Vec<SocketAddr>,

    /// task whose state is explained
    #[argh(option, arg_name = "JOB/INDEX", from_str_fn(parse_task))]
    why: Option<(String, u32)>,

    /// print the answers as a JSON array
    #[argh(switch)]
    json: bool,
}

/// Runs `status`.
pub fn run(args: Args) -> Result<()> {
    if args.admin.is_empty() {
        return Err(Error::call("status", "no --admin address given"));
    }
    match args.why {
        Some((job, index)) => why(&args.admin, &job, index, args.json),
        None => status(&args.admin, args.json),
    }
}

fn parse_task(text: &str) -> std::result::Result<(String, u32), String> {
    let parts = text.rsplit_once('/').and_then(|(job, index)| Some((job, index.parse().ok()?)));
    match parts {
        Some((job, index)) if !job.is_empty() => Ok((job.to_owned(), index)),
        _ => Err(format!("expected JOB/INDEX, such as weaving-roster/3, found {text}")),
    }
}

fn status(admins: &[SocketAddr], as_json: bool) -> Result<()> {
    let results =
        block_on(call_all(admins, |client: Client| async move { client.get::<Status>("/v1/status").await }));
    let mut statuses = Vec::new();
    let mut errors = Vec::new();
    for (address, result) in results {
        match result {
            Ok(status) => statuses.push((address, status)),
            Err(error) => errors.push(error),
        }
    }
    if as_json {
        let list: Vec<Value> =
            statuses.iter().map(|(address, status)| json!({ "admin": address, "status": status })).collect();
        print(json(&list)?)?;
    } else if !statuses.is_empty() {
        print(tables(&statuses))?;
    }
    combine_errors(errors, admins.len())
}

fn why(admins: &[SocketAddr], job: &str, index: u32, as_json: bool) -> Result<()> {
    let path = format!("/v1/tasks/{}/{index}", encode_segment(job));
    let results = block_on(call_all(admins, |client: Client| {
        let path = path.clone();
        async move { client.get::<Why>(path).await }
    }));
    let mut explanations = Vec::new();
    let mut unknown_task = None;
    let mut errors = Vec::new();
    for (address, result) in results {
        match result {
            Ok(Why { why }) => explanations.push((address, why)),
            Err(Error::Unmet(reason)) => unknown_task = Some(Error::Unmet(reason)),
            Err(error) => errors.push(error),
        }
    }
    if as_json {
        let list: Vec<Value> =
            explanations.iter().map(|(address, why)| json!({ "admin": address, "why": why })).collect();
        print(json(&list)?)?;
    } else if !explanations.is_empty() {
        let lines: Vec<String> =
            explanations.iter().map(|(address, why)| format!("{address}: {why}")).collect();
        print(lines.join("\n"))?;
    }
    combine_errors(errors, admins.len())?;
    match unknown_task {
        Some(error) if explanations.is_empty() => Err(error),
        _ => Ok(()),
    }
}

fn tables(statuses: &[(SocketAddr, Status)]) -> String {
    let mut parts = vec![vm_table(statuses), cell_table(statuses)];
    // All entry VMs have the same documents, except those that have not received the newest version yet.
    if let Some((_, newest)) = statuses.iter().max_by_key(|(_, status)| status.version) {
        parts.push(document_table(newest));
    }
    parts.retain(|part| !part.is_empty());
    parts.join("\n")
}

fn vm_table(statuses: &[(SocketAddr, Status)]) -> String {
    let row = |(address, status): &(SocketAddr, Status)| {
        let requests = status.requests;
        [
            status.name.clone(),
            address.to_string(),
            status.zone.clone(),
            if status.ready { "yes" } else { "no" }.to_owned(),
            status.version.to_string(),
            status.members.len().to_string(),
            status.cells.len().to_string(),
            requests.in_flight.to_string(),
            requests.answered.to_string(),
            requests.refused.to_string(),
            requests.unknown.to_string(),
        ]
    };
    let header = [
        "VM",
        "ADMIN",
        "ZONE",
        "READY",
        "VERSION",
        "MEMBERS",
        "CELLS",
        "IN FLIGHT",
        "ANSWERED",
        "REFUSED",
        "UNKNOWN",
    ];
    table::render(header, &statuses.iter().map(row).collect::<Vec<_>>())
}

fn cell_table(statuses: &[(SocketAddr, Status)]) -> String {
    let format_share = |Share { have, of }: Share| format!("{have}/{of}");
    let row = |(status, cell): (&Status, &Cell)| {
        let tasks = cell.tasks;
        [
            cell.id.clone(),
            status.name.clone(),
            cell.role.clone(),
            cell.epoch.to_string(),
            format_share(cell.workers),
            format_share(cell.replicas),
            tasks.queued.to_string(),
            tasks.running.to_string(),
            tasks.unknown.to_string(),
            tasks.finished.to_string(),
            tasks.failed.to_string(),
            tasks.cancelled.to_string(),
        ]
    };
    let owned = statuses.iter().flat_map(|(_, status)| status.cells.iter().map(move |cell| (status, cell)));
    let rows: Vec<_> = owned.map(row).collect();
    if rows.is_empty() {
        return String::new();
    }
    let header = [
        "CELL",
        "OWNER",
        "ROLE",
        "EPOCH",
        "WORKERS",
        "REPLICAS",
        "QUEUED",
        "RUNNING",
        "UNKNOWN",
        "FINISHED",
        "FAILED",
        "CANCELLED",
    ];
    table::render(header, &rows)
}

fn document_table(status: &Status) -> String {
    if status.documents.is_empty() {
        return String::new();
    }
    let rows: Vec<_> = status
        .documents
        .iter()
        .map(|document| [document.name.clone(), document.version.to_string(), document.author.clone()])
        .collect();
    table::render(["DOCUMENT", "VERSION", "AUTHOR"], &rows)
}
