//! `apply`: puts a document in force.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use awc::http::Method;
use serde_json::json;

use crate::port::operator::{Client, block_on, decode, segment};
use super::{json, print};
use crate::error::{Error, Result};
use crate::finding::Finding;
use crate::wire::admin::{Accepted, Change, Status};

/// Apply a document as a whole and print the version that it is in force with.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "$ {command_name} desk.toml --admin 127.0.0.1:7100",
    note = "Without --base, the document must stay as it is in force at the start of the command.",
    error_code(1, "The document has findings, or another operator changed it first."),
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

    /// who applies it; the default is the value of USER
    #[argh(option, arg_name = "A")]
    author: Option<String>,

    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// Applies the file.
pub fn run(args: Args) -> Result<()> {
    let file = args.file.display().to_string();
    let text = fs::read_to_string(&args.file).map_err(|error| Error::io(format!("read {file}"), error))?;
    let name = document_name(&file, &text).map_err(|finding| Error::Findings(vec![finding]))?;
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
        None => version(&client.get("/v1/status").await?, name),
    };
    let path = format!("/v1/documents/{}", segment(name));
    let request = client
        .request(Method::PUT, &path)
        .content_type("application/toml")
        .query(&Change { base: Some(base), author })
        .map_err(|error| Error::call("encode the request", error))?;
    let bytes = client.send(request, text, name).await?;
    decode(&bytes, path)
}

fn version(status: &Status, name: &str) -> u64 {
    status.documents.iter().find(|document| document.name == name).map_or(0, |document| document.version)
}

/// Value of the top-level key `name`.
fn document_name(file: &str, text: &str) -> std::result::Result<String, Finding> {
    let finding = |offset: usize, key: &str, message: &str| {
        let before = text.get(..offset).unwrap_or(text);
        Finding {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
            key: key.to_owned(),
            message: message.to_owned(),
        }
    };
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
        finding(error.span().map_or(0, |s| s.start), "", error.message())
    })?;
    match table.get("name") {
        Some(toml::Value::String(name)) if !name.is_empty() => Ok(name.clone()),
        _ => Err(finding(0, "name", "expected the name of the document, a string that is not empty")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a document applied under a wrong or empty name.
    #[test]
    fn the_name_is_read_or_reported_with_its_place() {
        assert_eq!(document_name("f", "name = \"desk\"\n[x]\nname = \"no\""), Ok("desk".to_owned()));
        for text in ["", "name = \"\"", "name = 3"] {
            assert_eq!(document_name("f", text).expect_err(text).key, "name");
        }
        let finding = document_name("f", "name = \"desk\"\n\nx = = 1").expect_err("bad TOML");
        assert_eq!((finding.line, finding.column), (3, 5));
    }
}
