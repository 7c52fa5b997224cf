//! Subcommand `bench`, which measures how costs grow with the size of a deployment.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;

use super::{json, print, table as text_table};
use crate::bench::slope::Slope;
use crate::bench::{chart, page, slopes as measure_slopes};
use crate::error::{Error, Result};

/// Measure how state, messages and processor time grow with the size of a deployment.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Args {
    #[argh(subcommand)]
    name: Name,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Name {
    Slopes(Slopes),
}

/// Measure every role at several sizes and fit a line to each quantity.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "slopes",
    example = "$ {command_name} --charts docs/charts --page docs/CAPACITY.md",
    note = "Quantities that are derived from time or memory depend on the machine; run a release build on an idle one."
)]
struct Slopes {
    /// print the slopes as JSON
    #[argh(switch)]
    json: bool,

    /// measure only the quantities that are the same in each run
    #[argh(switch)]
    exact: bool,

    /// directory to write a chart of each slope to
    #[argh(option, arg_name = "DIR")]
    charts: Option<PathBuf>,

    /// page whose generated sections are replaced
    #[argh(option, arg_name = "FILE")]
    page: Option<PathBuf>,
}

/// Runs the benchmark of the subcommand.
pub fn run(args: Args) -> Result<()> {
    match args.name {
        Name::Slopes(args) => measure(&args),
    }
}

fn measure(args: &Slopes) -> Result<()> {
    let slopes = measure_slopes(!args.exact);
    if let Some(directory) = &args.charts {
        chart::write(directory, &slopes)?;
    }
    if let Some(path) = &args.page {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| Error::io(format!("read {file}"), error))?;
        let text = page::refresh(&text, &slopes)?;
        fs::write(path, text).map_err(|error| Error::io(format!("write {file}"), error))?;
    }
    if args.json { print(json(&slopes)?) } else { print(table(&slopes)) }
}

fn table(slopes: &[Slope]) -> String {
    let rows: Vec<[String; 8]> = slopes.iter().map(page::row).collect();
    text_table::render(page::COLUMNS, &rows)
}
