//! Listens at an HTTP address and accepts connections.

use super::connection;
use super::request_handler::RequestHandler;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Handle;
use tokio::time::sleep;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The pause after a failure to accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Binds a listener to an address.
pub fn bind(handle: &Handle, addr: SocketAddr) -> io::Result<TcpListener> {
    let _runtime = handle.enter();
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and spawns a task for each. Runs until it is aborted.
pub async fn accept(listener: TcpListener, request_handler: Arc<RequestHandler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                // If there are too many connections, the new one is closed.
                if let Some(open) = request_handler.connections.open() {
                    tokio::spawn(connection::serve(stream, open, request_handler.clone()));
                }
            }
            Err(error) => {
                log::warn!(
                    "failed to accept an HTTP connection: {error}; raise the limit on open files"
                );
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}
