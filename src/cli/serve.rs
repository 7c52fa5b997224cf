//! Subcommand `serve`, which runs an entry VM.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::{Error, Result};
use crate::node::{jobs, start};
use crate::platform::SETTINGS_VARIABLE;
use crate::port::operator::block_on;
use crate::settings::{self, Settings};
use crate::telemetry;

/// Run an entry VM until it gets SIGTERM or SIGINT, then shut down gracefully.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "serve",
    example = "$ {command_name} --settings examples/settings.toml",
    note = "SIGTERM hands over all cells and finishes requests in flight before the process ends.",
    error_code(1, "The settings have findings.")
)]
pub struct Args {
    /// settings file of this VM; the default is the path in the environment variable of the platform
    #[argh(option, arg_name = "FILE")]
    settings: Option<PathBuf>,
}

/// Runs `serve`.
pub fn run(args: Args) -> Result<()> {
    let path = args.settings.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        return Err(Error::call("serve", format!("neither --settings nor {SETTINGS_VARIABLE} is given")));
    };
    let file = path.display().to_string();
    let text = fs::read_to_string(&path).map_err(|error| Error::io(format!("read {file}"), error))?;
    let settings = settings::parse(&file, &text).map_err(Error::Findings)?;
    let _log = telemetry::log::start(
        settings.name.clone(),
        settings.log.level.name(),
        settings.log.file.as_deref(),
    )?;
    if settings.jobs.is_some() { block_on(serve_jobs(&settings)) } else { block_on(serve(&settings)) }
}

async fn serve_jobs(settings: &Settings) -> Result<()> {
    let listen_for = |kind| signal(kind).map_err(|error| Error::io("wait for signals", error));
    let (mut terminate, mut interrupt, mut hangup) = (
        listen_for(SignalKind::terminate())?,
        listen_for(SignalKind::interrupt())?,
        listen_for(SignalKind::hangup())?,
    );
    let mut running = jobs::start(settings)?;
    log::info!("entry VM {} of zone {} schedules jobs", settings.name, settings.zone);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // No setting can change while the process runs, so SIGHUP reloads nothing and is only logged.
            _ = hangup.recv() => log::info!("SIGHUP ignored; settings are read only at the start"),
        }
    }
    log::info!("shutting down");
    running.stop();
    running.ended().await;
    log::info!("shutdown complete");
    Ok(())
}

async fn serve(settings: &Settings) -> Result<()> {
    let listen_for = |kind| signal(kind).map_err(|error| Error::io("wait for signals", error));
    let (mut terminate, mut interrupt) =
        (listen_for(SignalKind::terminate())?, listen_for(SignalKind::interrupt())?);
    let mut running = start::start(settings)?;
    log::info!(
        caller:% = running.caller_address, admin:% = running.admin_address, peer:% = running.peer_address;
        "entry VM {} of zone {} serves", settings.name, settings.zone
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("shutting down");
    running.stop();
    running.ended().await;
    log::info!("shutdown complete");
    Ok(())
}
