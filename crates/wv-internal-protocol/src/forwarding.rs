//! Messages between access nodes that forward client requests to the owner of a shard.
use nanoserde::{DeBin, SerBin};

/// Identifies a client session forwarded to a shard owner: the random ID of the forwarding process's incarnation and a
/// number that is unique within that incarnation.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct ForwardedSessionId {
    pub incarnation: u64,
    pub number: u64,
}

/// Requests of a session are numbered from 1; a response carries the number of its request.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub enum ForwardMessage {
    Open {
        session: ForwardedSessionId,
        host: String,
        user: String,
    },
    /// A request of an earlier build, which does not name the configuration that it was routed by. Always rejected.
    UnversionedRequest {
        session: ForwardedSessionId,
        request: u64,
        lines: Vec<u8>,
    },
    /// The bytes that the client would receive in response to this request alone.
    Response {
        session: ForwardedSessionId,
        request: u64,
        bytes: Vec<u8>,
    },
    /// The receiver does not own the shard, is in another configuration version or accepts no new work. No part of the
    /// request has run or will run; `request` is 0 if the rejection applies to any request.
    Rejected {
        session: ForwardedSessionId,
        request: u64,
    },
    Close {
        session: ForwardedSessionId,
    },
    /// Sent first on a link and returned by the accepting node; requests follow only then. An earlier build cannot decode
    /// it and closes the link, so that no request reaches a node that ignores configuration versions.
    Hello,
    /// Protocol lines as the client would send them: values and definitions first, then the request itself.
    Request {
        session: ForwardedSessionId,
        request: u64,
        /// The configuration version that the request, or its transaction, was routed by. The receiver starts new work
        /// only in exactly this version.
        configuration_version: u64,
        lines: Vec<u8>,
    },
}
