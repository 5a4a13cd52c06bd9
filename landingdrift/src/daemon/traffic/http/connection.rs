//! Serves the requests of one HTTP connection.

use super::request_handler::RequestHandler;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpStream;

/// Serves the requests of a connection until it is closed.
pub async fn serve(stream: TcpStream, request_handler: Arc<RequestHandler>) {
    let service = service_fn(move |request| {
        let request_handler = request_handler.clone();
        async move { Ok::<_, Infallible>(request_handler.handle(request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error only says that the client has hung up or does not speak HTTP.
    let _ = connection.await;
}
