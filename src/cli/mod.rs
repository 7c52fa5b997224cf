//! Command line of the binary, with one module per subcommand.
//!
//! A subcommand parses its arguments, calls the library and prints the result. Exit codes: 0 for success, 1 for
//! findings, conflicts and runs that end without the declared result, 2 for usage errors and failed calls.

mod apply;
mod bench;
mod check;
mod drain;
mod local;
mod serve;
mod status;
mod table;
mod timeline;

use std::io::{self, ErrorKind, Write};
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

use crate::error::{Error, Result};

/// Exit code of a usage error.
const USAGE_EXIT_CODE: u8 = 2;

/// Schedules latency-critical services and batch tasks on the same VMs.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Check a document and apply it:\n\
    $ {command_name} check desk.toml\n\
    $ {command_name} apply desk.toml --admin 127.0.0.1:7100",
    note = "Findings and errors are written to stderr.",
    error_code(1, "The input has findings, or the requested result was not reached."),
    error_code(2, "The command was used wrongly, or a call failed.")
)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Apply(apply::Args),
    Bench(bench::Args),
    Check(check::Args),
    Drain(drain::Args),
    Local(local::Args),
    Serve(serve::Args),
    Status(status::Args),
    Timeline(timeline::Args),
}

impl Command {
    fn run(self) -> Result<()> {
        match self {
            Self::Apply(args) => apply::run(args),
            Self::Bench(args) => bench::run(args),
            Self::Check(args) => check::run(args),
            Self::Drain(args) => drain::run(args),
            Self::Local(args) => local::run(args),
            Self::Serve(args) => serve::run(args),
            Self::Status(args) => status::run(args),
            Self::Timeline(args) => timeline::run(args),
        }
    }
}

/// Runs the command line `args`, the first of which is the path of the binary, and returns the exit code.
pub fn main(args: impl IntoIterator<Item = String>) -> ExitCode {
    let args: Vec<String> = args.into_iter().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (name, rest) =
        args.split_first().map_or(("nutmegfold", &[][..]), |(name, rest)| (file_name(name), rest));
    match Args::from_args(&[name], rest) {
        Ok(args) => exit(args.command.run()),
        Err(EarlyExit { output, status: Ok(()) }) => exit(print(output)),
        Err(EarlyExit { output, status: Err(()) }) => {
            eprintln!("{}", output.trim_end());
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

fn exit(result: Result<()>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    eprintln!("{error}");
    ExitCode::from(error.exit_code())
}

fn file_name(path: &str) -> &str {
    path.rsplit(['/', '\\']).next().unwrap_or(path)
}

/// Writes `text` and a line break to stdout. A closed pipe is not an error, since readers such as `head` close it
/// early.
fn print(text: impl AsRef<str>) -> Result<()> {
    let text = text.as_ref().trim_end();
    let mut output = io::stdout().lock();
    match writeln!(output, "{text}").and_then(|()| output.flush()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result.map_err(|error| Error::io("write to stdout", error)),
    }
}

/// Encodes `value` as indented JSON.
fn json(value: &impl serde::Serialize) -> Result<String> {
    serde_json::to_string_pretty(value).map_err(|error| Error::call("encode JSON", error))
}
