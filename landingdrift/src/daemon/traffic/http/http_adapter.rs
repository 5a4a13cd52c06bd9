//! Translates between HTTP and the requests and responses of a part.

use crate::sans_io::{Request, Response};
use serde_json::Value;
use std::sync::Arc;

/// A request as received over HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpRequest {
    /// The method in capitals, such as `GET`.
    pub method: String,
    /// The percent-decoded path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The headers, in the order in which they were received.
    pub headers: Vec<(String, String)>,
    /// The body, complete and within the limit.
    pub body: Vec<u8>,
}

/// A response to be sent over HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers; the server itself adds `Content-Length`.
    pub headers: Vec<(String, String)>,
    /// The body; empty for none.
    pub body: Vec<u8>,
}

/// The translation of an HTTP request: a call of the part, or a finished response.
pub enum AdapterResult {
    /// Passes the request to the part, and translates the part's response with the function.
    Call(Request, Box<dyn FnOnce(Response) -> HttpResponse + Send>),
    /// Sends this response without calling the part.
    Respond(HttpResponse),
}

/// The maximum length of a request's body by method and percent-decoded path, in bytes. 0 if the request needs no body;
/// a body is then not read.
type BodyLimit = Arc<dyn Fn(&str, &str) -> u64 + Send + Sync>;

/// Whether the response to a request may be large, by method and percent-decoded path.
type LargeResponse = Arc<dyn Fn(&str, &str) -> bool + Send + Sync>;

/// Translates HTTP requests at one address into requests to the part, and the part's responses into HTTP responses.
#[derive(Clone)]
pub struct HttpAdapter {
    pub(super) translate_request: Arc<dyn Fn(HttpRequest) -> AdapterResult + Send + Sync>,
    pub(super) body_limit: BodyLimit,
    pub(super) has_large_response: LargeResponse,
}

impl HttpAdapter {
    /// An adapter with a custom translation. All requests may have a body of any length that the limits of the address
    /// allow.
    pub fn new(translate_request: Arc<dyn Fn(HttpRequest) -> AdapterResult + Send + Sync>) -> Self {
        Self {
            translate_request,
            body_limit: Arc::new(|_, _| u64::MAX),
            has_large_response: Arc::new(|_, _| false),
        }
    }

    /// Limits the bodies of requests by method and percent-decoded path, in bytes; 0 if a request needs no body. The
    /// limits of the address apply as well.
    pub fn with_body_limit(
        mut self,
        body_limit: impl Fn(&str, &str) -> u64 + Send + Sync + 'static,
    ) -> Self {
        self.body_limit = Arc::new(body_limit);
        self
    }

    /// Names the requests, by method and percent-decoded path, whose responses may be large. Few of them are executed at
    /// a time.
    pub fn with_large_responses(
        mut self,
        has_large_response: impl Fn(&str, &str) -> bool + Send + Sync + 'static,
    ) -> Self {
        self.has_large_response = Arc::new(has_large_response);
        self
    }
}

impl Default for HttpAdapter {
    /// The adapter for landingdrift's own API: JSON bodies, and plain text where the body is a string.
    fn default() -> Self {
        Self::new(Arc::new(translate_request))
    }
}

fn translate_request(http: HttpRequest) -> AdapterResult {
    let request = Request {
        method: http.method,
        path: http.path,
        query: http.query,
        body: http.body,
    };
    AdapterResult::Call(request, Box::new(format_response))
}

/// Formats a response of landingdrift's own API.
pub(super) fn format_response(mut response: Response) -> HttpResponse {
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
