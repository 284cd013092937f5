//! The HTTP endpoint for operators: `/metrics`, `/health` and `/ready`. One request a connection.

use crate::metrics;
use mulleinhub_engine::Engine;
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

/// Bytes of a request; a longer one has its connection closed.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// Connections at a time. Their descriptors are reserved apart from the clients'.
const MAX_CONNECTIONS: usize = 16;

/// Connections of HTTP clients, with the bytes of their requests so far.
#[derive(Debug, Default)]
pub(crate) struct HttpEndpoint {
    requests: BTreeMap<ConnectionId, Vec<u8>>,
}

/// What comes of the bytes of a request.
pub(crate) enum Progress {
    /// The connection is not one of this endpoint's.
    NotHttp,
    /// More bytes are needed.
    Incomplete,
    /// The request is too long: the connection is to be closed at once.
    TooLong,
    /// The request is complete; this is its path.
    Complete(Vec<u8>),
}

impl HttpEndpoint {
    /// How many more connections are accepted now.
    pub(crate) fn accept_budget(&self) -> usize {
        MAX_CONNECTIONS.saturating_sub(self.requests.len())
    }

    pub(crate) fn on_accepted(&mut self, id: ConnectionId) {
        self.requests.insert(id, Vec::new());
    }

    /// Returns whether the connection was one of this endpoint's.
    pub(crate) fn on_closed(&mut self, id: ConnectionId) -> bool {
        self.requests.remove(&id).is_some()
    }

    pub(crate) fn on_data(&mut self, id: ConnectionId, bytes: &[u8]) -> Progress {
        let Some(request) = self.requests.get_mut(&id) else { return Progress::NotHttp };
        request.extend_from_slice(bytes);
        if request.len() > MAX_REQUEST_BYTES {
            self.requests.remove(&id);
            return Progress::TooLong;
        }
        if !request.windows(4).any(|end| end == b"\r\n\r\n") {
            return Progress::Incomplete;
        }
        let request = self.requests.remove(&id).unwrap_or_default();
        Progress::Complete(request.split(|byte| *byte == b' ').nth(1).unwrap_or_default().to_vec())
    }
}

/// The response to a request for this path.
pub(crate) fn response(path: &[u8], engine: &Engine) -> String {
    let (status, body) = match path {
        b"/metrics" => ("200 OK", metrics::render(engine)),
        b"/health" => ("200 OK", "well\n".to_owned()),
        b"/ready" => match engine.not_ready() {
            None => ("200 OK", "ready\n".to_owned()),
            Some(reason) => ("503 Service Unavailable", format!("not ready: {reason}\n")),
        },
        _ => ("404 Not Found", "only /metrics, /health and /ready are here\n".to_owned()),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    head + &body
}
