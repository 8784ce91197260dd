//! Tests that a request is sent and handled at most once when the connection is cut at any point.
use googletest::prelude::*;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(4);
const TIMEOUTS: wv_http::Timeouts = wv_http::Timeouts { connect: TIMEOUT, unacknowledged: TIMEOUT, response: TIMEOUT };
const BODY: &[u8] = br#"{"destination":"s","id":"d1"}"#;
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Where the peer cuts the connection.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Cut {
    /// Before anything of the request was read.
    BeforeRequest,
    InRequest,
    AfterRequest,
    /// After this many bytes of the response were sent.
    InResponse(usize),
    AfterResponse,
}

/// The connections and complete requests that the peer received.
#[derive(Default)]
struct Received {
    connections: Cell<usize>,
    requests: RefCell<Vec<String>>,
}

fn reset(stream: tokio::net::TcpStream) {
    // Closing with a linger time of zero sends a reset.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
}

fn is_complete(got: &[u8]) -> bool {
    let end = got.windows(4).position(|part| part == b"\r\n\r\n");
    end.is_some_and(|end| got.len() >= end + 4 + BODY.len())
}

/// Runs a platform that cuts each connection at `cut`.
async fn platform(listener: tokio::net::TcpListener, cut: Cut, received: Rc<Received>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        received.connections.set(received.connections.get() + 1);
        if cut == Cut::BeforeRequest {
            reset(stream);
            continue;
        }
        let mut got = Vec::new();
        let is_enough = |got: &[u8]| is_complete(got) || (cut == Cut::InRequest && got.len() > 20);
        while !is_enough(&got) {
            let Ok(len) = stream.read_buf(&mut got).await else { break };
            if len == 0 {
                break;
            }
        }
        if cut == Cut::InRequest {
            reset(stream);
            continue;
        }
        received.requests.borrow_mut().push(String::from_utf8_lossy(&got).into_owned());
        match cut {
            Cut::AfterRequest => reset(stream),
            Cut::InResponse(len) => {
                let _ = stream.write_all(&OK.as_bytes()[..len]).await;
                let _ = stream.shutdown().await;
            }
            _ => {
                let _ = stream.write_all(OK.as_bytes()).await;
                let _ = stream.shutdown().await;
            }
        }
    }
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn post(addr: std::net::SocketAddr) -> Option<u16> {
    let headers = [("X-Duty-Holder", "c0".to_owned()), ("X-Fence-Number", "7".to_owned())];
    wv_http::send_request(addr, "POST", "/promotion", &headers, BODY.to_vec(), TIMEOUTS).await.ok()
}

/// Sends one request to such a platform. Returns its status and what the platform received.
async fn send_once(cut: Cut) -> (Option<u16>, Rc<Received>) {
    let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("its address");
    let received = Rc::new(Received::default());
    tokio::task::spawn_local(platform(listener, cut, received.clone()));
    let code = post(addr).await;
    // Lets pending tasks run, so that a retry would be noticed.
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
    (code, received)
}

#[gtest]
fn given_a_reset_before_during_or_after_the_request_then_it_is_not_retried() {
    run_local(async {
        for (cut, requests) in [(Cut::BeforeRequest, 0), (Cut::InRequest, 0), (Cut::AfterRequest, 1)] {
            let (code, received) = send_once(cut).await;
            expect_that!(code, none(), "{cut:?}");
            expect_that!((received.connections.get(), received.requests.borrow().len()), eq((1, requests)), "{cut:?}");
        }
    });
}

#[gtest]
fn given_a_response_cut_anywhere_then_the_request_is_sent_once_and_only_a_complete_head_counts_as_a_response() {
    run_local(async {
        let head = OK.find("\r\n\r\n").expect("a head") + 4;
        for len in 0..OK.len() {
            let (code, received) = send_once(Cut::InResponse(len)).await;
            expect_that!(code, eq((len >= head).then_some(200)), "after {len} bytes");
            expect_that!(
                (received.connections.get(), received.requests.borrow().len()),
                eq((1, 1)),
                "after {len} bytes"
            );
        }
        let (code, received) = send_once(Cut::AfterResponse).await;
        expect_that!((code, received.requests.borrow().len()), eq((Some(200), 1)));
    });
}

#[gtest]
fn given_two_requests_then_each_uses_its_own_connection_so_that_responses_cannot_be_mixed_up() {
    run_local(async {
        let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
        let addr = listener.local_addr().expect("its address");
        let received = Rc::new(Received::default());
        tokio::task::spawn_local(platform(listener, Cut::AfterResponse, received.clone()));
        expect_that!((post(addr).await, post(addr).await), eq((Some(200), Some(200))));
        expect_that!(received.connections.get(), eq(2));
    });
}

/// Connects to a server whose handler records the path of each complete request and returns it.
async fn connect_to_server(handled: Rc<RefCell<Vec<String>>>) -> tokio::net::TcpStream {
    let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("its address");
    let handle = move |request: wv_http::Request| {
        let is_complete = request.body.is_some();
        if is_complete {
            handled.borrow_mut().push(request.path.clone());
        }
        std::future::ready(wv_http::Response::json(if is_complete { 200 } else { 413 }, request.path))
    };
    tokio::task::spawn_local(wv_http::serve(listener, 1000, |_: &str, _: &str| None, handle));
    wv_http::connect(addr, TIMEOUT).await.expect("a connection")
}

fn put(path: &str, body: &str) -> String {
    format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

async fn read_all(stream: &mut tokio::net::TcpStream) -> String {
    let mut got = Vec::new();
    let _ = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut got)).await;
    String::from_utf8_lossy(&got).into_owned()
}

#[gtest]
fn given_pipelined_requests_then_each_is_handled_once_and_answered_in_order() {
    run_local(async {
        let handled = Rc::new(RefCell::new(Vec::new()));
        let mut stream = connect_to_server(handled.clone()).await;
        let requests: String = ["/a", "/b", "/c"].iter().map(|path| put(path, "x")).collect();
        stream.write_all(requests.as_bytes()).await.expect("three requests");
        stream.shutdown().await.expect("shutdown");
        let responses = read_all(&mut stream).await;
        let at = |path: &str| responses.find(path);
        expect_that!(at("/a") < at("/b") && at("/b") < at("/c") && at("/a").is_some(), eq(true), "{responses}");
        expect_that!(*handled.borrow(), eq(&vec!["/a", "/b", "/c"]));
    });
}

#[gtest]
fn given_a_request_cut_anywhere_then_it_is_not_handled_and_the_one_before_it_is_handled_once() {
    let second = put("/b", "0123456789");
    run_local(async {
        for len in 0..second.len() {
            let handled = Rc::new(RefCell::new(Vec::new()));
            let mut stream = connect_to_server(handled.clone()).await;
            let requests = format!("{}{}", put("/a", "x"), &second[..len]);
            stream.write_all(requests.as_bytes()).await.expect("one request and a part of another");
            stream.shutdown().await.expect("shutdown");
            read_all(&mut stream).await;
            expect_that!(*handled.borrow(), eq(&vec!["/a"]), "after {len} bytes");
        }
    });
}
