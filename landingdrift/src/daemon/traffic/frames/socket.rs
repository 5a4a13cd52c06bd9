//! Socket options of the TCP connections between processes.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Disables Nagle's algorithm, and enables timeouts so that a connection fails when its peer can't be reached.
pub fn configure(connection: TcpStream, timeout: Duration) -> io::Result<TcpStream> {
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
