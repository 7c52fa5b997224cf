//! Protobuf encoding of requests that are forwarded to another entry VM, and of their answers.

use std::time::Duration;

use actix_web::http::{Method, StatusCode};
use thiserror::Error;

use super::generated::peer as proto;
use crate::core::exchange::Id;
use crate::port::message::{self, Answer, Header, Request};

/// Why a forwarded request or its answer is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Malformed {
    /// The method is not a token.
    #[error("the method is malformed")]
    Method,
    /// The service name or path is empty or has dot segments.
    #[error("the service or path is malformed")]
    Target,
    /// A header has characters that are not allowed, or must not be forwarded.
    #[error("a header is malformed")]
    Header,
    /// The status is not a final HTTP status.
    #[error("status {0} is not a final HTTP status")]
    Status(u32),
}

/// A request that is forwarded to another entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Identity of the request.
    pub id: Id,
    /// Remaining time until the request times out; encoded in milliseconds.
    pub timeout: Duration,
    /// The request.
    pub request: Request,
}

impl From<Call> for proto::Call {
    fn from(call: Call) -> Self {
        let Request { method, service, path, query, headers, body } = call.request;
        Self {
            id: call.id.0,
            service,
            path,
            query,
            method: method.to_string(),
            headers: encode_headers(headers),
            body,
            timeout_ms: call.timeout.as_millis() as u64,
        }
    }
}

impl TryFrom<proto::Call> for Call {
    type Error = Malformed;

    fn try_from(call: proto::Call) -> Result<Self, Malformed> {
        let target = format!("/{}{}", call.service, call.path);
        if message::split_target(&target) != Some((&call.service, &call.path)) {
            return Err(Malformed::Target);
        }
        let request = Request {
            method: Method::from_bytes(call.method.as_bytes()).map_err(|_| Malformed::Method)?,
            service: call.service,
            path: call.path,
            query: call.query,
            headers: decode_headers(call.headers)?,
            body: call.body,
        };
        Ok(Self { id: Id(call.id), timeout: Duration::from_millis(call.timeout_ms), request })
    }
}

impl From<Answer> for proto::Delivered {
    fn from(answer: Answer) -> Self {
        let status = answer.status.as_u16().into();
        Self { status, headers: encode_headers(answer.headers), body: answer.body }
    }
}

impl TryFrom<proto::Delivered> for Answer {
    type Error = Malformed;

    fn try_from(answer: proto::Delivered) -> Result<Self, Malformed> {
        let status = u16::try_from(answer.status)
            .ok()
            .and_then(|status| StatusCode::from_u16(status).ok())
            .filter(|status| !status.is_informational())
            .ok_or(Malformed::Status(answer.status))?;
        Ok(Self { status, headers: decode_headers(answer.headers)?, body: answer.body })
    }
}

fn encode_headers(headers: Vec<Header>) -> Vec<proto::Header> {
    headers
        .into_iter()
        .map(|(name, value)| proto::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn decode_headers(headers: Vec<proto::Header>) -> Result<Vec<Header>, Malformed> {
    headers
        .into_iter()
        .map(|header| message::parse_header(&header.name, &header.value).ok_or(Malformed::Header))
        .collect()
}

#[cfg(test)]
mod tests {
    use actix_web::web::Bytes;

    use super::*;

    fn call() -> Call {
        let headers = vec![message::parse_header("x-request-id", b"7").expect("a valid header")];
        let request = Request {
            method: Method::POST,
            service: "quote".into(),
            path: "/a".into(),
            query: Some("b=1".into()),
            headers,
            body: Bytes::from_static(b"\0body"),
        };
        Call { id: Id(9), timeout: Duration::from_millis(1500), request }
    }

    /// Guards against a field of a request that is lost or changed by the encoding.
    #[test]
    fn calls_survive_the_round_trip() {
        assert_eq!(Call::try_from(proto::Call::from(call())), Ok(call()));
    }

    /// Guards against a peer whose request reaches another endpoint of the worker or smuggles a second request.
    #[test]
    fn unsafe_calls_are_refused() {
        let error = |change: fn(&mut proto::Call)| {
            let mut call = proto::Call::from(call());
            change(&mut call);
            Call::try_from(call).err()
        };
        assert_eq!(error(|call| call.path = "/../v1/control".into()), Some(Malformed::Target));
        assert_eq!(error(|call| call.path = "a".into()), Some(Malformed::Target));
        assert_eq!(error(|call| call.service = "a/b".into()), Some(Malformed::Target));
        assert_eq!(error(|call| call.method = "GET /x".into()), Some(Malformed::Method));
        assert_eq!(error(|call| call.headers[0].value = b"a\r\nb: c".to_vec()), Some(Malformed::Header));
        assert_eq!(error(|call| call.headers[0].name = "transfer-encoding".into()), Some(Malformed::Header));
        let answer = proto::Delivered { status: 100, headers: Vec::new(), body: Bytes::new() };
        assert_eq!(Answer::try_from(answer), Err(Malformed::Status(100)));
    }
}
