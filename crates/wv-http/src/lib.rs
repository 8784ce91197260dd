//! HTTP for the ready probe, the operator, the beats and the platform; the library does the protocol.
mod sock;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
pub use sock::{connect, listen, tune};

/// Connections served at once per listener.
const CONNECTIONS_MAX: usize = 512;
const IDLE: std::time::Duration = std::time::Duration::from_secs(30);
/// How long the body of a call that has its return already is still taken in: 1 MiB over 2 Mbit/s take 4.2 s.
const DRAIN: std::time::Duration = std::time::Duration::from_secs(5);

#[derive(thiserror::Error, Debug)]
pub enum HttpError {
    #[error("connect: {0}")]
    Connect(std::io::Error),
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    #[error("the call could not be built")]
    Build,
    #[error("no return in time")]
    Late,
}

/// A call as the handlers see it, its body read whole.
pub struct Call {
    pub method: String,
    pub path: String,
    /// `None` where the body went over the bound.
    pub body: Option<Bytes>,
}

/// A return: its status and its body, with what the body is.
pub struct Return {
    pub status: u16,
    pub body: Vec<u8>,
    content_type: &'static str,
}

impl Return {
    /// A return whose body is JSON.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Return {
        Return { status, body: body.into(), content_type: "application/json" }
    }

    /// A return whose body is plain text.
    pub fn text(status: u16, body: impl Into<Vec<u8>>) -> Return {
        Return { status, body: body.into(), content_type: "text/plain; version=0.0.4" }
    }
}

fn respond(ret: Return) -> Response<Full<Bytes>> {
    // A caller that is sent elsewhere is told where in the body.
    if ret.status == 307 {
        let place = String::from_utf8(ret.body).unwrap_or_default();
        return Response::builder().status(307).header("Location", place).body(Full::default()).unwrap_or_default();
    }
    Response::builder()
        .status(ret.status)
        .header("Content-Type", ret.content_type)
        .body(Full::new(Bytes::from(ret.body)))
        .unwrap_or_default()
}

/// Takes in and drops what is left of a body. Closed with bytes unread, a connection is reset, and the return that was
/// sent ahead of them may be lost with it.
async fn drain(mut body: Incoming, body_max: usize) {
    let mut len = 0;
    let passing = async {
        while let Some(Ok(frame)) = body.frame().await {
            len += frame.data_ref().map_or(0, Bytes::len);
            if len > body_max {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DRAIN, passing).await;
}

/// Serves `listener` for ever. `head` is asked with method and path as soon as the head of a call is there and may
/// return at once; each other call goes to `handle` with its body, of `body_max` bytes at most.
pub async fn serve<D, H, F>(listener: tokio::net::TcpListener, body_max: usize, head: D, handle: H)
where
    D: Fn(&str, &str) -> Option<Return> + Clone + 'static,
    H: Fn(Call) -> F + Clone + 'static,
    F: std::future::Future<Output = Return> + 'static,
{
    let open = std::rc::Rc::new(std::cell::Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: a pause lets others close.
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        if open.get() >= CONNECTIONS_MAX {
            continue;
        }
        tune(&stream, std::time::Duration::from_secs(3));
        open.set(open.get() + 1);
        let (open, ask, handle) = (open.clone(), head.clone(), handle.clone());
        tokio::task::spawn_local(async move {
            let service = hyper::service::service_fn(move |request: Request<Incoming>| {
                let (ask, handle) = (ask.clone(), handle.clone());
                async move {
                    let (head, body) = request.into_parts();
                    if let Some(ret) = ask(head.method.as_str(), head.uri.path()) {
                        tokio::task::spawn_local(drain(body, body_max));
                        return Ok(respond(ret));
                    }
                    let body = Limited::new(body, body_max).collect().await.ok().map(|body| body.to_bytes());
                    let call = Call { method: head.method.to_string(), path: head.uri.path().to_owned(), body };
                    Ok::<_, std::convert::Infallible>(respond(handle(call).await))
                }
            });
            let io = hyper_util::rt::TokioIo::new(stream);
            let serving =
                hyper::server::conn::http1::Builder::new().max_buf_size(64 << 10).serve_connection(io, service);
            // A caller that stays silent holds no place for ever.
            let _ = tokio::time::timeout(IDLE, serving).await;
            open.set(open.get() - 1);
        });
    }
}

/// Makes one call and returns its status.
pub async fn call(
    addr: std::net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: Vec<u8>,
    limit: std::time::Duration,
) -> Result<u16, HttpError> {
    let calling = async {
        let stream = connect(addr, limit).await.map_err(HttpError::Connect)?;
        let (mut sender, conn) = hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream)).await?;
        let driver = tokio::task::spawn_local(async move {
            let _ = conn.await;
        });
        let mut request = Request::builder().method(method).uri(path).header("Host", addr.to_string());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request
            .header("Content-Type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| HttpError::Build)?;
        let ret = sender.send_request(request).await;
        driver.abort();
        Ok(ret?.status().as_u16())
    };
    tokio::time::timeout(limit, calling).await.unwrap_or(Err(HttpError::Late))
}
