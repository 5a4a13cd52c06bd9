//! Serves the requests of one HTTP connection.

use super::connections::OpenConnection;
use super::request_handler::RequestHandler;
use super::tracked_stream::TrackedStream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The maximum length of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 20 << 10;
/// The memory that a connection takes at most, beside the body of its request and the response, in bytes: a head that is
/// received in part, the smaller buffer that it has outgrown, and the state of the connection.
pub const CONNECTION_BYTES: u64 = 32 << 10;

/// After a response to a request whose body was not read, this many bytes of it are read and discarded, so that the
/// response is not lost: closing a socket with unread bytes resets the connection.
const MAX_DISCARDED_BYTES: usize = 512 << 10;
/// The time for which they are read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Serves the requests of a connection until the client or this process closes it.
pub async fn serve(stream: TcpStream, open: OpenConnection, request_handler: Arc<RequestHandler>) {
    let stream = TrackedStream::new(stream, open.progress().clone());
    let open = Arc::new(open);
    tokio::select! {
        () = serve_requests(stream, &open, request_handler) => {}
        () = open.must_close() => {}
    }
}

async fn serve_requests(
    stream: TrackedStream,
    open: &Arc<OpenConnection>,
    request_handler: Arc<RequestHandler>,
) {
    let service = service_fn(|request| {
        let (request_handler, open) = (request_handler.clone(), open.clone());
        async move { Ok::<_, Infallible>(request_handler.handle(request, open).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // An error only says that the client has hung up or does not speak HTTP.
    if let Ok(parts) = connection.without_shutdown().await {
        let stream = parts.io.into_inner();
        if open.has_unread_body() {
            let _ = timeout(DISCARD_TIMEOUT, discard(stream)).await;
        }
    }
}

/// Ends the sending direction, then reads and discards what the client still sends.
async fn discard(mut stream: TrackedStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    // On the heap, so that connections that discard nothing do not hold it.
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_DISCARDED_BYTES {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(bytes) => discarded_bytes += bytes,
        }
    }
}
