//! Subcommand `local`, which runs a whole deployment on loopback.

use std::fs;
use std::io::IsTerminal;
use std::path::PathBuf;

use argh::FromArgs;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::signal::ctrl_c;

use super::{json, print};
use crate::declare::check::{self, Source};
use crate::error::{Error, Result};
use crate::local::Deployment;
use crate::local::report::Report;
use crate::port::operator::block_on;
use crate::telemetry;

/// Run all entry VMs of a file in this process, on loopback, with stand-ins for the store, the workers and the VM list.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "local",
    example = "$ {command_name} examples/order-desk.toml --until-idle",
    note = "Without --until-idle, it prints the addresses of the entry VMs and serves until it is interrupted.",
    error_code(1, "A declared task or sample request did not complete, or a stand-in counted a violation.")
)]
pub struct Args {
    /// document that describes zones, VMs, services and jobs
    #[argh(positional, arg_name = "FILE")]
    file: PathBuf,

    /// apply the file, send its sample requests, run every task, print a report and exit
    #[argh(switch)]
    until_idle: bool,

    /// print the report, or the addresses, as JSON
    #[argh(switch)]
    json: bool,

    /// minimum severity of the log on stderr; the default is warn
    #[argh(option, default = "String::from(\"warn\")")]
    log: String,
}

/// Runs `local`.
pub fn run(args: Args) -> Result<()> {
    let file = args.file.display().to_string();
    let text = fs::read_to_string(&args.file).map_err(|error| Error::io(format!("read {file}"), error))?;
    let plan =
        check::compile(&[Source { name: &file, text: &text, is_stored: false }]).map_err(Error::Findings)?;
    let _log = telemetry::log::start("local", &args.log, None)?;
    block_on(async {
        let deployment = Deployment::start(plan).await?;
        let version = deployment.apply(text).await?;
        if args.until_idle {
            until_idle(deployment, version, args.json).await
        } else {
            serve(deployment, args.json).await
        }
    })
}

async fn serve(deployment: Deployment, as_json: bool) -> Result<()> {
    let addresses: Vec<_> = deployment
        .vms
        .iter()
        .map(|vm| {
            serde_json::json!({
                "name": vm.name, "zone": vm.zone,
                "caller": vm.running.caller_address, "admin": vm.running.admin_address, "peer": vm.running.peer_address,
            })
        })
        .collect();
    if as_json {
        print(json(&addresses)?)?;
    } else {
        for vm in &deployment.vms {
            print(format!(
                "{:<24} caller {}  admin {}",
                vm.name, vm.running.caller_address, vm.running.admin_address
            ))?;
        }
    }
    ctrl_c().await.map_err(|error| Error::io("wait for an interrupt", error))?;
    deployment.stop().await;
    Ok(())
}

async fn until_idle(deployment: Deployment, version: u64, as_json: bool) -> Result<()> {
    deployment.wait_until_running(version).await?;
    let bar = progress_bar();
    let report = deployment
        .run_until_idle(|finished, declared| {
            bar.set_length(declared);
            bar.set_position(finished);
        })
        .await?;
    bar.finish_and_clear();
    deployment.stop().await;
    print(if as_json { json(&report)? } else { table(&report) })?;
    report.verify()
}

/// Returns a progress bar, which is hidden if stderr is not a terminal.
fn progress_bar() -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} tasks  {elapsed}");
    ProgressBar::no_length().with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn table(report: &Report) -> String {
    let rows = [
        ("requests sent", report.requests_sent),
        ("requests answered", report.requests_answered),
        ("requests refused", report.requests_refused),
        ("requests lost", report.requests_lost),
        ("wrong answers", report.wrong_answers),
        ("tasks declared", report.tasks_declared),
        ("tasks finished", report.tasks_finished),
        ("evictions", report.evictions),
        ("tasks run twice", report.tasks_run_twice),
        ("slots overcommitted", report.slots_overcommitted),
        ("connections overcommitted", report.connections_overcommitted),
        ("requests run twice", report.requests_run_twice),
    ];
    let mut lines: Vec<String> = rows.iter().map(|(name, value)| format!("{name:<26} {value:>8}")).collect();
    let latency = report.latency_ms;
    lines.push(format!("{:<26} p50 {:.2} ms, p99 {:.2} ms", "latency", latency.p50, latency.p99));
    lines.join("\n")
}
