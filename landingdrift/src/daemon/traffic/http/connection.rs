//! Serves the requests of one HTTP connection.

use super::connections::OpenConnection;
use super::request_handler::RequestHandler;
use super::tracked_stream::TrackedStream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpStream;

/// The maximum length of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 20 << 10;
/// The memory that a connection takes at most, beside the body of its request and the response, in bytes: a head that is
/// received in part, the smaller buffer that it has outgrown, and the state of the connection.
pub const CONNECTION_BYTES: u64 = 32 << 10;

/// Serves the requests of a connection until the client or this process closes it.
pub async fn serve(stream: TcpStream, open: OpenConnection, request_handler: Arc<RequestHandler>) {
    let open = Arc::new(open);
    let stream = TrackedStream::new(stream, open.clone());
    let service = service_fn(|request| {
        let (request_handler, open) = (request_handler.clone(), open.clone());
        async move { Ok::<_, Infallible>(request_handler.handle(request, open).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // An error only says that the client has hung up or does not speak HTTP.
        _ = connection => {}
        () = open.must_close() => {}
    }
}
