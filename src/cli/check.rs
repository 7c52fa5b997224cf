//! Subcommand `check`, which reports all findings in documents.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;

use super::{json, print};
use crate::declare::check::{Source, compile};
use crate::error::{Error, Result};
use crate::wire::admin::Finding;

/// Check documents as one configuration and list all findings.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "$ {command_name} zones.toml desk.toml",
    note = "Each finding is one line: FILE:LINE:COLUMN: KEY: MESSAGE."
)]
pub struct Args {
    /// first document of the configuration
    #[argh(positional, arg_name = "FILE")]
    first: PathBuf,

    /// further documents of the configuration
    #[argh(positional, arg_name = "FILE")]
    files: Vec<PathBuf>,

    /// print the findings as a JSON array
    #[argh(switch)]
    json: bool,
}

/// Runs `check`.
pub fn run(args: Args) -> Result<()> {
    let paths = std::iter::once(args.first).chain(args.files);
    let texts: Vec<(String, String)> = paths.map(read_document).collect::<Result<_>>()?;
    let sources: Vec<Source<'_>> =
        texts.iter().map(|(name, text)| Source { name, text, is_stored: false }).collect();
    match compile(&sources) {
        Ok(_) if args.json => print("[]"),
        Ok(plan) => print(format!(
            "ok: {} zones, {} pools, {} services, {} jobs",
            plan.zones.len(),
            plan.pools.len(),
            plan.services.len(),
            plan.jobs.len()
        )),
        Err(findings) => {
            if args.json {
                let list: Vec<Finding> = findings.iter().cloned().map(Finding::from).collect();
                print(json(&list)?)?;
            }
            Err(Error::Findings(findings))
        }
    }
}

fn read_document(path: PathBuf) -> Result<(String, String)> {
    let name = path.display().to_string();
    let text = fs::read_to_string(&path).map_err(|error| Error::io(format!("read {name}"), error))?;
    Ok((name, text))
}
