//! Subcommand `drain`, which stops the placement of new work on a VM.

use std::net::SocketAddr;

use argh::FromArgs;
use awc::http::Method;
use serde_json::json;

use super::{json, print};
use crate::error::Result;
use crate::port::operator::{Client, block_on, encode_segment};

/// Place no new work on a VM, so that it can be stopped.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "$ {command_name} worker-17 --admin 127.0.0.1:7100",
    error_code(1, "The VM does not exist.")
)]
pub struct Args {
    /// name of the VM
    #[argh(positional, arg_name = "VM")]
    vm: String,

    /// address of the administration port of the entry VM that owns the worker's cell
    #[argh(option, arg_name = "ADDR")]
    admin: SocketAddr,

    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// Runs `drain`.
pub fn run(args: Args) -> Result<()> {
    block_on(drain(args.admin, &args.vm))?;
    if args.json {
        return print(json(&json!({ "vm": args.vm, "draining": true }))?);
    }
    print(format!("{}: draining", args.vm))
}

async fn drain(admin: SocketAddr, vm: &str) -> Result<()> {
    let client = Client::new(admin);
    let request = client.request(Method::POST, format!("/v1/drain/{}", encode_segment(vm)));
    client.send(request, "", "").await?;
    Ok(())
}
