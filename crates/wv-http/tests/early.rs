//! Stories of calls that are answered by their heads.
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const BODY: usize = 100_000;
const WAIT: std::time::Duration = std::time::Duration::from_secs(4);

/// Reads one head of a return; what follows it is not expected.
async fn head(stream: &mut tokio::net::TcpStream) -> String {
    let mut got = Vec::new();
    let reading = async {
        while !got.ends_with(b"\r\n\r\n") {
            let byte = stream.read_u8().await?;
            got.push(byte);
        }
        std::io::Result::Ok(())
    };
    match tokio::time::timeout(WAIT, reading).await {
        Ok(Ok(())) => String::from_utf8_lossy(&got).into_owned(),
        other => format!("{other:?} after {}", String::from_utf8_lossy(&got)),
    }
}

fn told(story: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, story);
}

async fn connected() -> tokio::net::TcpStream {
    let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("its address");
    let ask = |_: &str, path: &str| (path == "/sent-on").then(|| wv_http::Return::new(307, "http://10.0.0.1:80/there"));
    let handle = |call: wv_http::Call| {
        let len = call.body.map_or(0, |body| body.len());
        std::future::ready(wv_http::Return::new(if len == BODY { 201 } else { 400 }, ""))
    };
    tokio::task::spawn_local(wv_http::serve(listener, BODY, ask, handle));
    wv_http::connect(addr, WAIT).await.expect("a connection")
}

fn call(path: &str) -> String {
    format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY}\r\n\r\n")
}

#[gtest]
fn given_a_caller_that_is_sent_on_then_it_hears_so_before_its_body_has_crossed_and_the_body_is_taken_in() {
    told(async {
        let mut stream = connected().await;
        stream.write_all(call("/sent-on").as_bytes()).await.expect("the head");
        stream.write_all(&[b'x'; 1000]).await.expect("the beginning of the body");
        let told = head(&mut stream).await;
        expect_that!(told, starts_with("HTTP/1.1 307"));
        expect_that!(told.to_lowercase(), contains_substring("location: http://10.0.0.1:80/there"));
        // Nothing was reset: the rest of the body goes, and the connection serves the next call.
        stream.write_all(&[b'x'; BODY - 1000]).await.expect("the rest of the body");
        stream.write_all(call("/here").as_bytes()).await.expect("another head");
        stream.write_all(&[b'x'; BODY]).await.expect("another body");
        expect_that!(head(&mut stream).await, starts_with("HTTP/1.1 201"));
    });
}
