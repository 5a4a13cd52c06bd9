//! Options of the sockets between processes.

use rocket::tokio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;

/// Makes a connection send without delay, and fail when the network to its peer is cut.
pub fn prepare(connection: TcpStream, timeout: Duration) -> io::Result<TcpStream> {
    let second = Duration::from_secs(1);
    let socket = SockRef::from(&connection);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(timeout * 2))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time((timeout * 10).max(second))
            .with_interval(timeout.max(second)),
    )?;
    Ok(connection)
}
