//! HTTP client of the administration API.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::rt::{self, System};
use actix_web::web::Bytes;
use awc::error::SendRequestError;
use awc::{ClientRequest, http::Method};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::wire::admin::Problem;

/// Longest duration of a call; longer than the process's own timeout for its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Size limit of an answer in bytes; the largest answer is a full timeline with long reasons.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of one administration port.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    address: SocketAddr,
}

impl Client {
    /// Returns a client of the port at `address`, for use inside [`block_on`].
    pub fn new(address: SocketAddr) -> Self {
        let http = awc::Client::builder().timeout(CALL_TIMEOUT).disable_redirects().finish();
        Self { http, address }
    }

    /// Builds a request for `path`, whose segments must be encoded.
    pub fn request(&self, method: Method, path: impl AsRef<str>) -> ClientRequest {
        self.http.request(method, format!("http://{}{}", self.address, path.as_ref()))
    }

    /// Sends a request and returns the body of a successful answer. `document` names the document that the request
    /// changes, for error messages; it is empty if there is none.
    ///
    /// # Errors
    ///
    /// The request cannot be sent, the answer is lost, or the answer has an error status.
    pub async fn send(
        &self,
        request: ClientRequest,
        body: impl Into<Bytes>,
        document: &str,
    ) -> Result<Bytes> {
        let call_name = format!("{} {}", request.get_method(), request.get_uri());
        let is_read = request.get_method() == Method::GET;
        let answer_lost = |error: &dyn std::fmt::Display| {
            let note = if is_read { "" } else { "; the change may have taken effect, see the status" };
            Error::call(&call_name, format!("{error}{note}"))
        };
        let mut response = match request.send_body(body.into()).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(error)) => return Err(Error::call(&call_name, error)),
            Err(error) => return Err(answer_lost(&error)),
        };
        let bytes = response.body().limit(MAX_ANSWER_BYTES).await.map_err(|error| answer_lost(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(bytes);
        }
        match serde_json::from_slice::<Problem>(&bytes) {
            Ok(problem) => Err(problem.into_error(call_name, document)),
            Err(_) => Err(Error::call(call_name, status)),
        }
    }

    /// Reads JSON from `path`.
    ///
    /// # Errors
    ///
    /// As for [`Client::send`], and if the answer is malformed.
    pub async fn get<T: DeserializeOwned>(&self, path: impl AsRef<str>) -> Result<T> {
        let bytes = self.send(self.request(Method::GET, &path), Bytes::new(), "").await?;
        decode(&bytes, path)
    }
}

/// Decodes the JSON answer to the call with this name, which is used in error messages.
///
/// # Errors
///
/// The answer is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], call_name: impl AsRef<str>) -> Result<T> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::call(format!("answer to {}", call_name.as_ref()), error))
}

/// Runs a future to completion on this thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    System::new().block_on(future)
}

/// Calls all ports concurrently and returns the results in the order of `addresses`.
pub async fn call_all<T: 'static, F: Future<Output = Result<T>> + 'static>(
    addresses: &[SocketAddr],
    call: impl Fn(Client) -> F,
) -> Vec<(SocketAddr, Result<T>)> {
    let calls: Vec<_> =
        addresses.iter().map(|address| (*address, rt::spawn(call(Client::new(*address))))).collect();
    let mut results = Vec::with_capacity(calls.len());
    for (address, call) in calls {
        let result = call.await.unwrap_or_else(|error| Err(Error::call(format!("call {address}"), error)));
        results.push((address, result));
    }
    results
}

/// Combines the errors of all failed calls into one.
///
/// # Errors
///
/// At least one call has failed.
pub fn combine_errors(errors: Vec<Error>, call_count: usize) -> Result<()> {
    if errors.is_empty() {
        return Ok(());
    }
    let reasons: Vec<String> = errors.iter().map(Error::to_string).collect();
    Err(Error::call(format!("{} of {call_count} calls failed", errors.len()), reasons.join("\n")))
}

/// Percent-encodes one segment of a path (RFC 3986).
pub fn encode_segment(text: impl AsRef<str>) -> String {
    let encode = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    };
    text.as_ref().bytes().map(encode).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a name that changes the path or the query of the URL.
    #[test]
    fn a_segment_stays_one_segment() {
        assert_eq!(encode_segment("order-desk_1.~"), "order-desk_1.~");
        assert_eq!(encode_segment("a/b?c d\u{e9}"), "a%2Fb%3Fc%20d%C3%A9");
    }
}
