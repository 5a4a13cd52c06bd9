//! The translation between HTTP and the requests and responses of a part.

use crate::sans_io::{Request, Response};
use serde_json::Value;
use std::sync::Arc;

/// A request as it came over HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpRequest {
    /// The method, as `GET`.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The headers in the order in which they came.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A response as it is sent over HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// What is done with a request.
pub enum HandlerAction {
    /// The part is called; its response is translated by the function.
    Call(Request, Box<dyn FnOnce(Response) -> HttpResponse + Send>),
    /// It is answered without calling the part.
    Respond(HttpResponse),
}

/// How HTTP requests at an address become requests to the part, and its responses HTTP responses.
#[derive(Clone)]
pub struct HttpAdapter {
    pub(super) read: Arc<dyn Fn(HttpRequest) -> HandlerAction + Send + Sync>,
}

impl HttpAdapter {
    /// An adapter of one's own.
    pub fn new(read: Arc<dyn Fn(HttpRequest) -> HandlerAction + Send + Sync>) -> Self {
        Self { read }
    }
}

impl Default for HttpAdapter {
    /// The adapter of landingdrift's own API: JSON, and text where the body is a string.
    fn default() -> Self {
        Self::new(Arc::new(read))
    }
}

fn read(http: HttpRequest) -> HandlerAction {
    let request = Request {
        method: http.method,
        path: http.path,
        query: http.query,
        body: http.body,
    };
    HandlerAction::Call(request, Box::new(write))
}

/// A response of landingdrift's own API.
pub(super) fn write(mut response: Response) -> HttpResponse {
    let retry_ms = response.retry_ms;
    if let Value::Object(fields) = &mut response.body {
        if retry_ms > 0 {
            fields.insert("retryMs".into(), retry_ms.into());
        }
    }
    let (content_type, text) = match response.body {
        Value::String(text) => ("text/plain; charset=utf-8", text),
        other => ("application/json", other.to_string() + "\n"),
    };
    let mut headers = Vec::new();
    if retry_ms > 0 {
        let seconds = retry_ms.div_ceil(1000);
        headers.push(("Retry-After".into(), seconds.to_string()));
    }
    if !response.location.is_empty() {
        headers.push(("Location".into(), format!("http://{}", response.location)));
    }
    headers.push(("Content-Type".into(), content_type.into()));
    HttpResponse {
        status: response.status,
        headers,
        body: text.into_bytes(),
    }
}
