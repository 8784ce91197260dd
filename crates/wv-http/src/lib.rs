//! HTTP/1 server for readiness probes, operators and database heartbeats, and client for platform calls.
mod socket;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
pub use socket::{configure_stream, connect, listen};

/// Maximum number of concurrent connections per listener.
const MAX_CONNECTIONS: usize = 512;
const MAX_CONNECTION_LIFETIME: std::time::Duration = std::time::Duration::from_secs(30);
/// How long the rest of a request body is read after an early response. A body of 1 MiB takes 4.2 s at 2 Mbit/s.
const DRAIN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

#[derive(thiserror::Error, Debug)]
pub enum HttpError {
    #[error("connect: {0}")]
    Connect(std::io::Error),
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    #[error("invalid request")]
    InvalidRequest,
    #[error("request timed out")]
    Timeout,
}

/// A request with its complete body.
pub struct Request {
    pub method: String,
    pub path: String,
    /// `None` if the body exceeds the maximum size or could not be read.
    pub body: Option<Bytes>,
}

/// A response with its status, body and content type.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    content_type: &'static str,
}

impl Response {
    /// A response with a JSON body.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response { status, body: body.into(), content_type: "application/json" }
    }

    /// A response with a body in the Prometheus text format.
    pub fn text(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response { status, body: body.into(), content_type: "text/plain; version=0.0.4" }
    }
}

fn to_hyper(response: Response) -> hyper::Response<Full<Bytes>> {
    // For redirects the body holds the target location.
    if response.status == 307 {
        let location = String::from_utf8(response.body).unwrap_or_default();
        return hyper::Response::builder()
            .status(307)
            .header("Location", location)
            .body(Full::default())
            .unwrap_or_default();
    }
    hyper::Response::builder()
        .status(response.status)
        .header("Content-Type", response.content_type)
        .body(Full::new(Bytes::from(response.body)))
        .unwrap_or_default()
}

/// Reads and discards the rest of a body. Closing a connection with unread data resets it, and the client may lose
/// the response that was already sent.
async fn drain(mut body: Incoming, max_body_bytes: usize) {
    let mut len = 0;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            len += frame.data_ref().map_or(0, Bytes::len);
            if len > max_body_bytes {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, reading).await;
}

/// Serves `listener` forever. `handle_head` gets method and path of each request before its body is read and may
/// respond early. All other requests go to `handle` with their bodies of at most `max_body_bytes`.
pub async fn serve<D, H, F>(listener: tokio::net::TcpListener, max_body_bytes: usize, handle_head: D, handle: H)
where
    D: Fn(&str, &str) -> Option<Response> + Clone + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: std::future::Future<Output = Response> + 'static,
{
    let connections = std::rc::Rc::new(std::cell::Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Probably out of file descriptors: retry once other connections may have closed.
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        if connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        configure_stream(&stream, std::time::Duration::from_secs(3));
        connections.set(connections.get() + 1);
        let (connections, handle_head, handle) = (connections.clone(), handle_head.clone(), handle.clone());
        tokio::task::spawn_local(async move {
            let service = hyper::service::service_fn(move |request: hyper::Request<Incoming>| {
                let (handle_head, handle) = (handle_head.clone(), handle.clone());
                async move {
                    let (head, body) = request.into_parts();
                    if let Some(response) = handle_head(head.method.as_str(), head.uri.path()) {
                        tokio::task::spawn_local(drain(body, max_body_bytes));
                        return Ok(to_hyper(response));
                    }
                    let body = Limited::new(body, max_body_bytes).collect().await.ok().map(|body| body.to_bytes());
                    let request = Request { method: head.method.to_string(), path: head.uri.path().to_owned(), body };
                    Ok::<_, std::convert::Infallible>(to_hyper(handle(request).await))
                }
            });
            let io = hyper_util::rt::TokioIo::new(stream);
            let serving =
                hyper::server::conn::http1::Builder::new().max_buf_size(64 << 10).serve_connection(io, service);
            // Closes the connection in any case, so that idle clients cannot occupy all connections.
            let _ = tokio::time::timeout(MAX_CONNECTION_LIFETIME, serving).await;
            connections.set(connections.get() - 1);
        });
    }
}

/// Timeouts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Nothing is sent if the connection is not accepted within this.
    pub connect: std::time::Duration,
    /// The connection is closed if sent data is not acknowledged within this.
    pub unacknowledged: std::time::Duration,
    /// From the accepted connection to the head of the response.
    pub response: std::time::Duration,
}

/// Sends one request on a new connection, without retries, and returns the status of the response. The request was
/// not sent if the error is `HttpError::Connect`.
pub async fn send_request(
    addr: std::net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: Vec<u8>,
    timeouts: Timeouts,
) -> Result<u16, HttpError> {
    let stream = connect(addr, timeouts.connect).await.map_err(HttpError::Connect)?;
    configure_stream(&stream, timeouts.unacknowledged);
    let exchange = async {
        let (mut sender, conn) = hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream)).await?;
        let driver = tokio::task::spawn_local(async move {
            let _ = conn.await;
        });
        let mut request = hyper::Request::builder().method(method).uri(path).header("Host", addr.to_string());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request
            .header("Content-Type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| HttpError::InvalidRequest)?;
        let response = sender.send_request(request).await;
        driver.abort();
        Ok(response?.status().as_u16())
    };
    tokio::time::timeout(timeouts.response, exchange).await.unwrap_or(Err(HttpError::Timeout))
}
