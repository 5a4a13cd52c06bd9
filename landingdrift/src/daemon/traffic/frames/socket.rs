use rocket::tokio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;

/// Makes a connection send at once, and end when its peer is silent behind a cut.
pub fn prepare(c: TcpStream, patience: Duration) -> io::Result<TcpStream> {
    let second = Duration::from_secs(1);
    let s = SockRef::from(&c);
    s.set_tcp_nodelay(true)?;
    s.set_tcp_user_timeout(Some(patience * 2))?;
    s.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time((patience * 10).max(second))
            .with_interval(patience.max(second)),
    )?;
    Ok(c)
}
