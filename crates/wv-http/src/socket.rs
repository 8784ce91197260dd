//! TCP listeners and streams with common socket options.
use std::net::SocketAddr;
use std::time::Duration;

pub fn listen(addr: SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(1024)?;
    tokio::net::TcpListener::from_std(socket.into())
}

/// Disables Nagle's algorithm and closes the connection when sent data is not acknowledged within `user_timeout`.
pub fn configure_stream(stream: &tokio::net::TcpStream, user_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout));
}

/// Connects within `timeout`, which also becomes the user timeout of the stream.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> std::io::Result<tokio::net::TcpStream> {
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream =
        tokio::time::timeout(timeout, tokio::net::TcpStream::connect(addr)).await.unwrap_or(Err(timed_out()))?;
    configure_stream(&stream, timeout);
    Ok(stream)
}
