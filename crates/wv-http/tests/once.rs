//! Stories of one call over sockets whose far end resets somewhere: it is made once, and what it hears is its own.
use googletest::prelude::*;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const LIMIT: std::time::Duration = std::time::Duration::from_secs(4);
const BODY: &[u8] = br#"{"destination":"s","id":"d1"}"#;
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Where the far end breaks off.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Cut {
    /// Nothing of the call was read.
    BeforeCall,
    InCall,
    AfterCall,
    /// So many bytes of the return were sent.
    InReturn(usize),
    AfterReturn,
}

/// What the far end saw: connections, and whole calls.
#[derive(Default)]
struct Seen {
    connections: Cell<usize>,
    calls: RefCell<Vec<String>>,
}

fn reset(stream: tokio::net::TcpStream) {
    // Closed with nothing kept: the other side hears a reset.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
}

fn is_whole(got: &[u8]) -> bool {
    let end = got.windows(4).position(|part| part == b"\r\n\r\n");
    end.is_some_and(|end| got.len() >= end + 4 + BODY.len())
}

/// A platform that cuts each connection at `cut`.
async fn platform(listener: tokio::net::TcpListener, cut: Cut, seen: Rc<Seen>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        seen.connections.set(seen.connections.get() + 1);
        if cut == Cut::BeforeCall {
            reset(stream);
            continue;
        }
        let mut got = Vec::new();
        let wanted = |got: &[u8]| is_whole(got) || (cut == Cut::InCall && got.len() > 20);
        while !wanted(&got) {
            let Ok(len) = stream.read_buf(&mut got).await else { break };
            if len == 0 {
                break;
            }
        }
        if cut == Cut::InCall {
            reset(stream);
            continue;
        }
        seen.calls.borrow_mut().push(String::from_utf8_lossy(&got).into_owned());
        match cut {
            Cut::AfterCall => reset(stream),
            Cut::InReturn(len) => {
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

fn told(story: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, story);
}

async fn post(addr: std::net::SocketAddr) -> Option<u16> {
    let headers = [("X-Duty-Holder", "c0".to_owned()), ("X-Fence-Number", "7".to_owned())];
    wv_http::call(addr, "POST", "/promotion", &headers, BODY.to_vec(), LIMIT).await.ok()
}

/// What one call against such a platform comes to: its status, and what the platform saw.
async fn made(cut: Cut) -> (Option<u16>, Rc<Seen>) {
    let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("its address");
    let seen = Rc::new(Seen::default());
    tokio::task::spawn_local(platform(listener, cut, seen.clone()));
    let code = post(addr).await;
    // Whoever tried again by itself would do it at once; whatever is under way comes to its turn.
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
    (code, seen)
}

#[gtest]
fn given_a_reset_before_in_or_after_the_call_then_it_is_never_made_a_second_time() {
    told(async {
        for (cut, calls) in [(Cut::BeforeCall, 0), (Cut::InCall, 0), (Cut::AfterCall, 1)] {
            let (code, seen) = made(cut).await;
            expect_that!(code, none(), "{cut:?}");
            expect_that!((seen.connections.get(), seen.calls.borrow().len()), eq((1, calls)), "{cut:?}");
        }
    });
}

#[gtest]
fn given_a_return_cut_anywhere_then_the_call_stands_once_and_only_a_whole_head_is_a_return() {
    told(async {
        let head = OK.find("\r\n\r\n").expect("a head") + 4;
        for len in 0..OK.len() {
            let (code, seen) = made(Cut::InReturn(len)).await;
            expect_that!(code, eq((len >= head).then_some(200)), "after {len} bytes");
            expect_that!((seen.connections.get(), seen.calls.borrow().len()), eq((1, 1)), "after {len} bytes");
        }
        let (code, seen) = made(Cut::AfterReturn).await;
        expect_that!((code, seen.calls.borrow().len()), eq((Some(200), 1)));
    });
}

#[gtest]
fn given_two_calls_then_each_has_a_connection_of_its_own_and_no_return_can_pass_for_the_others() {
    told(async {
        let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
        let addr = listener.local_addr().expect("its address");
        let seen = Rc::new(Seen::default());
        tokio::task::spawn_local(platform(listener, Cut::AfterReturn, seen.clone()));
        expect_that!((post(addr).await, post(addr).await), eq((Some(200), Some(200))));
        expect_that!(seen.connections.get(), eq(2));
    });
}

/// A server whose handler counts what ran and says which call it was.
async fn server(ran: Rc<RefCell<Vec<String>>>) -> tokio::net::TcpStream {
    let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("its address");
    let handle = move |call: wv_http::Call| {
        let is_whole = call.body.is_some();
        if is_whole {
            ran.borrow_mut().push(call.path.clone());
        }
        std::future::ready(wv_http::Return::new(if is_whole { 200 } else { 413 }, call.path))
    };
    tokio::task::spawn_local(wv_http::serve(listener, 1000, |_: &str, _: &str| None, handle));
    wv_http::connect(addr, LIMIT).await.expect("a connection")
}

fn put(path: &str, body: &str) -> String {
    format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

async fn read_all(stream: &mut tokio::net::TcpStream) -> String {
    let mut got = Vec::new();
    let _ = tokio::time::timeout(LIMIT, stream.read_to_end(&mut got)).await;
    String::from_utf8_lossy(&got).into_owned()
}

#[gtest]
fn given_calls_one_behind_the_other_on_one_connection_then_each_runs_once_and_is_returned_in_turn() {
    told(async {
        let ran = Rc::new(RefCell::new(Vec::new()));
        let mut stream = server(ran.clone()).await;
        let calls: String = ["/a", "/b", "/c"].iter().map(|path| put(path, "x")).collect();
        stream.write_all(calls.as_bytes()).await.expect("three calls");
        stream.shutdown().await.expect("no more follow");
        let told = read_all(&mut stream).await;
        let at = |path: &str| told.find(path);
        expect_that!(at("/a") < at("/b") && at("/b") < at("/c") && at("/a").is_some(), eq(true), "{told}");
        expect_that!(*ran.borrow(), eq(&vec!["/a", "/b", "/c"]));
    });
}

#[gtest]
fn given_a_call_cut_anywhere_then_it_is_not_handled_and_the_one_before_it_is_handled_once() {
    let whole = put("/b", "0123456789");
    told(async {
        for len in 0..whole.len() {
            let ran = Rc::new(RefCell::new(Vec::new()));
            let mut stream = server(ran.clone()).await;
            let calls = format!("{}{}", put("/a", "x"), &whole[..len]);
            stream.write_all(calls.as_bytes()).await.expect("one call and a part of another");
            stream.shutdown().await.expect("no more follow");
            read_all(&mut stream).await;
            expect_that!(*ran.borrow(), eq(&vec!["/a"]), "after {len} bytes");
        }
    });
}
