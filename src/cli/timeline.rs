//! Subcommand `timeline`, which shows the decisions of several entry VMs in one order.

use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use actix_web::web::Bytes;
use argh::FromArgs;
use awc::http::Method;

use super::print;
use crate::error::{Error, Result};
use crate::finding::Finding;
use crate::port::operator::{Client, block_on, call_all, combine_errors};
use crate::timeline::entry::{self, Entry};
use crate::timeline::merge;
use crate::wire::admin::Selection;

/// Show the decisions of entry VMs in one order, read from their administration ports and from files.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "$ {command_name} --admin 127.0.0.1:7100 --admin 127.0.0.1:7101 --subject cell\n\
    $ {command_name} entry-1.jsonl entry-2.jsonl --json",
    note = "A subject is a kind and an identity, such as task:00000000000008f1:3, or a prefix of one.",
    error_code(1, "A file or an answer has malformed lines; all other lines are shown."),
    error_code(2, "The command was used wrongly, or a file or an entry VM could not be read.")
)]
pub struct Args {
    /// timeline files
    #[argh(positional, arg_name = "FILE")]
    files: Vec<PathBuf>,

    /// address of an entry VM's administration port; can be repeated
    #[argh(option, arg_name = "ADDR")]
    admin: Vec<SocketAddr>,

    /// show only entries about this subject
    #[argh(option, arg_name = "S")]
    subject: Option<String>,

    /// print one JSON object per line
    #[argh(switch)]
    json: bool,
}

/// Runs `timeline`: collects the entries, merges them and prints those about the subject.
pub fn run(args: Args) -> Result<()> {
    if args.admin.is_empty() && args.files.is_empty() {
        return Err(Error::call("timeline", "no --admin address and no file given"));
    }
    let mut entries = Vec::new();
    let mut findings = Vec::new();
    let mut add = |(new_entries, line_findings): (Vec<Entry>, Vec<Finding>)| {
        entries.extend(new_entries);
        findings.extend(line_findings);
    };
    let mut errors = Vec::new();
    for file in &args.files {
        match read_file(file) {
            Ok(file_entries) => add(file_entries),
            Err(error) => errors.push(error),
        }
    }
    let subject = args.subject.clone();
    let results = block_on(call_all(&args.admin, |client: Client| fetch(client, subject.clone())));
    for (address, result) in results {
        match result {
            Ok(bytes) => add(entry::read(&address.to_string(), &*bytes)),
            Err(error) => errors.push(error),
        }
    }
    let entries = merge::filter(merge::merge(entries), args.subject.as_deref());
    let line = |entry: &Entry| if args.json { entry.to_line() } else { entry.to_string() };
    if !entries.is_empty() {
        print(entries.iter().map(line).collect::<Vec<_>>().join("\n"))?;
    }
    combine_errors(errors, args.files.len() + args.admin.len())?;
    if findings.is_empty() { Ok(()) } else { Err(Error::Findings(findings)) }
}

fn read_file(path: &Path) -> Result<(Vec<Entry>, Vec<Finding>)> {
    let name = path.display().to_string();
    let file = File::open(path).map_err(|error| Error::io(format!("read {name}"), error))?;
    Ok(entry::read(&name, BufReader::new(file)))
}

async fn fetch(client: Client, subject: Option<String>) -> Result<Bytes> {
    let request = client
        .request(Method::GET, "/v1/timeline")
        .query(&Selection { subject, after: None })
        .map_err(|error| Error::call("encode the request", error))?;
    client.send(request, Bytes::new(), "").await
}
