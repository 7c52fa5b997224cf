//! Subcommand `apply`, which puts a document in force.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use awc::http::Method;
use serde_json::json;

use super::{json, print};
use crate::declare::document;
use crate::error::{Error, Result};
use crate::port::operator::{Client, block_on, decode, encode_segment};
use crate::wire::admin::{Accepted, Change, Status};

/// Apply a document as a whole and print the configuration version that puts it in force.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "$ {command_name} desk.toml --admin 127.0.0.1:7100",
    note = "Without --base, the document must not change between the start of the command and the update.",
    error_code(1, "The document has findings, or another operator changed it in the meantime."),
    error_code(2, "The call failed. The message says whether the change may have taken effect.")
)]
pub struct Args {
    /// document to apply
    #[argh(positional, arg_name = "FILE")]
    file: PathBuf,

    /// address of any entry VM's administration port
    #[argh(option, arg_name = "ADDR")]
    admin: SocketAddr,

    /// version of the document that the file is based on, 0 for a new document
    #[argh(option, arg_name = "V")]
    base: Option<u64>,

    /// operator who applies the document; the default is the value of USER
    #[argh(option, arg_name = "A")]
    author: Option<String>,

    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// Runs `apply`.
pub fn run(args: Args) -> Result<()> {
    let file = args.file.display().to_string();
    let text = fs::read_to_string(&args.file).map_err(|error| Error::io(format!("read {file}"), error))?;
    let name = document::name(&file, &text).map_err(|finding| Error::Findings(vec![finding]))?;
    let author = args.author.or_else(|| std::env::var("USER").ok());
    let accepted = block_on(apply(args.admin, &name, text, args.base, author))?;
    if args.json {
        return print(json(&json!({ "document": name, "version": accepted.version }))?);
    }
    print(format!("{name}: accepted as version {}", accepted.version))
}

async fn apply(
    admin: SocketAddr,
    name: &str,
    text: String,
    base: Option<u64>,
    author: Option<String>,
) -> Result<Accepted> {
    let client = Client::new(admin);
    let base = match base {
        Some(base) => base,
        None => current_version(&client.get("/v1/status").await?, name),
    };
    let path = format!("/v1/documents/{}", encode_segment(name));
    let request = client
        .request(Method::PUT, &path)
        .content_type("application/toml")
        .query(&Change { base: Some(base), author })
        .map_err(|error| Error::call("encode the request", error))?;
    let bytes = client.send(request, text, name).await?;
    decode(&bytes, path)
}

/// Version of the document `name` in force; 0 if there is none.
fn current_version(status: &Status, name: &str) -> u64 {
    status.documents.iter().find(|document| document.name == name).map_or(0, |document| document.version)
}
