//! Tests of responses that are sent before the request body is read.
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const BODY_BYTES: usize = 100_000;
const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(4);

/// Reads the head of a response that has no body.
async fn read_head(stream: &mut tokio::net::TcpStream) -> String {
    let mut got = Vec::new();
    let reading = async {
        while !got.ends_with(b"\r\n\r\n") {
            let byte = stream.read_u8().await?;
            got.push(byte);
        }
        std::io::Result::Ok(())
    };
    match tokio::time::timeout(TIMEOUT, reading).await {
        Ok(Ok(())) => String::from_utf8_lossy(&got).into_owned(),
        other => format!("{other:?} after {}", String::from_utf8_lossy(&got)),
    }
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn connect_to_server() -> tokio::net::TcpStream {
    let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("its address");
    let handle_head =
        |_: &str, path: &str| (path == "/redirect").then(|| wv_http::Response::json(307, "http://10.0.0.1:80/there"));
    let handle = |request: wv_http::Request| {
        let len = request.body.map_or(0, |body| body.len());
        std::future::ready(wv_http::Response::json(if len == BODY_BYTES { 201 } else { 400 }, ""))
    };
    tokio::task::spawn_local(wv_http::serve(listener, BODY_BYTES, handle_head, handle));
    wv_http::connect(addr, TIMEOUT).await.expect("a connection")
}

fn request_head(path: &str) -> String {
    format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\n")
}

#[gtest]
fn given_a_redirect_then_it_is_sent_before_the_body_has_arrived_and_the_body_is_drained() {
    run_local(async {
        let mut stream = connect_to_server().await;
        stream.write_all(request_head("/redirect").as_bytes()).await.expect("the head");
        stream.write_all(&[b'x'; 1000]).await.expect("the beginning of the body");
        let response = read_head(&mut stream).await;
        expect_that!(response, starts_with("HTTP/1.1 307"));
        expect_that!(response.to_lowercase(), contains_substring("location: http://10.0.0.1:80/there"));
        // The connection is not reset: it accepts the rest of the body and serves the next request.
        stream.write_all(&[b'x'; BODY_BYTES - 1000]).await.expect("the rest of the body");
        stream.write_all(request_head("/here").as_bytes()).await.expect("another head");
        stream.write_all(&[b'x'; BODY_BYTES]).await.expect("another body");
        expect_that!(read_head(&mut stream).await, starts_with("HTTP/1.1 201"));
    });
}
