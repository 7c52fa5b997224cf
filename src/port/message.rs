//! Requests and answers of the ports, with their end-to-end headers and bodies.
//!
//! Hop-by-hop headers are removed when a message is built, so that no port can forward them.

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;

/// Name and value of a header.
pub type Header = (HeaderName, HeaderValue);

/// Time that the sender waits for the answer, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");

/// Identity of a request in logs, set by the caller or generated at the first hop.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Outcome of a request that has no answer: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("nutmegfold-outcome");

/// Set to 1 by a worker that refused a request without running it.
pub const NOT_RUN: HeaderName = HeaderName::from_static("nutmegfold-not-run");

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that each hop sets itself.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// Headers that only nutmegfold or a worker may set; if copied from another sender, they would be mistaken for theirs.
const RESERVED: [HeaderName; 4] = [TIMEOUT, OUTCOME, NOT_RUN, header::HOST];

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Service name.
    pub service: String,
    /// Path below the service name, with its leading slash.
    pub path: String,
    /// Query without the question mark.
    pub query: Option<String>,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// A complete answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// End-to-end headers of a message.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            !is_excluded(name) && !connection_options.iter().any(|other| other == name.as_str())
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Parses a header in a peer's message; `None` if it is malformed or must not be forwarded.
pub fn parse_header(name: &str, value: &[u8]) -> Option<Header> {
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    let value = HeaderValue::from_bytes(value).ok()?;
    (!is_excluded(&name)).then_some((name, value))
}

/// Splits a request target into service name and path below the service; `None` if it has no valid service or path.
///
/// Dot segments are refused, even if they are percent-encoded: the upstream might resolve them to a path outside that
/// of the replica.
pub fn split_target(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix('/')?;
    let (service, path) = match rest.find('/') {
        Some(slash) => rest.split_at(slash),
        None => (rest, "/"),
    };
    (!service.is_empty() && !has_dot_segment(rest)).then_some((service, path))
}

fn is_excluded(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || RESERVED.contains(name)
}

fn has_dot_segment(path: &str) -> bool {
    let decoded = percent_decode(path.as_bytes());
    decoded.split(|byte| matches!(byte, b'/' | b'\\')).any(|segment| matches!(segment, b"." | b".."))
}

/// Decodes percent-encoding repeatedly until none is left, since an upstream may decode more than once.
fn percent_decode(path: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(path.len());
    for &byte in path {
        decoded.push(byte);
        while let [.., b'%', high, low] = decoded[..]
            && let (Some(high), Some(low)) = (hex_digit(high), hex_digit(low))
        {
            decoded.truncate(decoded.len() - 3);
            decoded.push(high << 4 | low);
        }
    }
    decoded
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a target that reaches the worker's control interface, which has the same address as its replicas.
    #[test]
    fn targets_with_dot_segments_are_refused() {
        assert_eq!(split_target("/quote/a/b"), Some(("quote", "/a/b")));
        assert_eq!(split_target("/quote"), Some(("quote", "/")));
        assert_eq!(split_target("/quote/a..b/.c/%41"), Some(("quote", "/a..b/.c/%41")));
        for path in ["", "/", "//x", "*", "/q/../x", "/q/..", "/../x", "/q/.", "/q/%2e%2E/x", "/q/%2e%2e%2fx"]
        {
            assert_eq!(split_target(path), None, "{path}");
        }
        for path in ["/q/%252e%252e/x", "/q/..%5cx", "/q/%25%32%65./x"] {
            assert_eq!(split_target(path), None, "{path}");
        }
    }

    /// Guards against a hop-by-hop header, or a forged reserved header, that is forwarded.
    #[test]
    fn hop_by_hop_and_reserved_headers_are_removed() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "close, X-Private"),
            ("x-private", "1"),
            ("transfer-encoding", "chunked"),
            ("content-length", "3"),
            ("nutmegfold-outcome", "not-run"),
            ("set-cookie", "a=1"),
            ("set-cookie", "b=2"),
        ] {
            headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let forwarded = end_to_end_headers(&headers);
        let forwarded: Vec<_> =
            forwarded.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
        assert_eq!(forwarded, [("set-cookie", b"a=1".as_slice()), ("set-cookie", b"b=2".as_slice())]);
        assert_eq!(parse_header("transfer-encoding", b"chunked"), None);
        assert_eq!(parse_header("x-a", b"1\r\nx-b: 2"), None);
    }
}
