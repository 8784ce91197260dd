//! Sockets as every part wants them.
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

/// Small lines go out at once, and a dark far end ends the connection after `silent`.
pub fn tune(stream: &tokio::net::TcpStream, silent: Duration) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(silent));
}

pub async fn connect(addr: SocketAddr, limit: Duration) -> std::io::Result<tokio::net::TcpStream> {
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = tokio::time::timeout(limit, tokio::net::TcpStream::connect(addr)).await.unwrap_or(Err(late()))?;
    tune(&stream, limit);
    Ok(stream)
}
