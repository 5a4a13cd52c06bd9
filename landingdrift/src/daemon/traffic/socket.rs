use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, RawFd};
use std::time::Duration;

/// Makes a connection send at once, and end when its peer is silent behind a cut.
pub fn prepare<S: AsFd>(c: S, patience: Duration) -> io::Result<S> {
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

/// Prepares a listener that a library keeps to itself: what it accepts inherits this.
pub fn prepare_listener(at: SocketAddr, patience: Duration) -> io::Result<()> {
    std::fs::read_dir("/proc/self/fd")?
        .filter_map(|f| f.ok()?.file_name().to_str()?.parse::<RawFd>().ok())
        // SAFETY: the number is used only here; were it closed meanwhile, each call on it would fail.
        .map(|n| unsafe { BorrowedFd::borrow_raw(n) })
        .find(|fd| listens(fd, at))
        .ok_or_else(|| io::ErrorKind::NotFound.into())
        .and_then(|fd| prepare(fd, patience).map(drop))
}

fn listens(fd: &BorrowedFd, at: SocketAddr) -> bool {
    let s = SockRef::from(fd);
    s.is_listener().unwrap_or(false) && s.local_addr().is_ok_and(|a| a.as_socket() == Some(at))
}
