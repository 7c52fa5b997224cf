//! `drain`: gives a VM no new work.

use std::net::SocketAddr;

use argh::FromArgs;
use awc::http::Method;
use serde_json::json;

use super::{json, print};
use crate::error::Result;
use crate::port::operator::{Client, block_on, encode_segment};

/// Give a VM no new work, so that it can be stopped.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "$ {command_name} worker-17 --admin 127.0.0.1:7100",
    error_code(1, "There is no such VM.")
)]
pub struct Args {
    /// name of the VM
    #[argh(positional, arg_name = "VM")]
    vm: String,

    /// administration port of the entry VM that owns the worker's cell
    #[argh(option, arg_name = "ADDR")]
    admin: SocketAddr,

    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// Drains the VM.
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
