//! Handles the HTTP requests that arrive at one address.

use super::http_adapter::format_response;
use super::responses;
use super::serving::{InFlight, ResponseBody, ServingState};
use super::{AdapterResult, HttpAdapter, HttpLimits, HttpRequest, HttpResponse};
use crate::daemon::input::Input;
use crate::daemon::pending_calls::PendingCalls;
use crate::sans_io::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use percent_encoding::percent_decode_str;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// The methods that are passed to the adapter; others get an error response.
const METHODS: [Method; 7] = [
    Method::GET,
    Method::PUT,
    Method::POST,
    Method::DELETE,
    Method::PATCH,
    Method::OPTIONS,
    Method::HEAD,
];

/// Handles all requests at one address.
pub struct RequestHandler {
    pub limits: HttpLimits,
    pub http_adapter: HttpAdapter,
    pub calls: PendingCalls,
    pub inputs: Sender<Input>,
    pub serving: ServingState,
    pub permits: Semaphore,
}

impl RequestHandler {
    /// Handles a request; returns the response.
    pub async fn handle(
        self: &Arc<Self>,
        request: hyper::Request<Incoming>,
    ) -> hyper::Response<ResponseBody> {
        let in_flight = self.serving.begin_call();
        // A task of its own executes the call to its end even if the caller hangs up.
        let reply = tokio::spawn(self.clone().reply(request));
        let response = reply.await;
        let response = response.unwrap_or_else(|_| format_response(responses::outcome_unknown()));
        self.respond(response, in_flight)
    }

    async fn reply(self: Arc<Self>, request: hyper::Request<Incoming>) -> HttpResponse {
        if !METHODS.contains(request.method()) {
            return format_response(responses::unknown_method(request.method().as_str()));
        }
        let Ok(_permit) = self.permits.try_acquire() else {
            return format_response(responses::busy());
        };
        let (head, body) = request.into_parts();
        let mut http_request = http_request(&head);
        let body_limit = (self.http_adapter.body_limit)(&http_request.method, &http_request.path);
        let max_bytes = body_limit.min(self.limits.body_bytes);
        match self.read_body(body, max_bytes).await {
            Ok(body) => http_request.body = body,
            Err(error_response) => return format_response(error_response),
        }
        match (self.http_adapter.translate_request)(http_request) {
            AdapterResult::Call(request, translate) => translate(self.call(request).await),
            AdapterResult::Respond(response) => response,
        }
    }

    /// Reads the body of a request. Reads nothing if the body is not needed or announced to be longer than the limit.
    async fn read_body(&self, body: Incoming, max_bytes: u64) -> Result<Vec<u8>, Response> {
        if max_bytes == 0 {
            return Ok(Vec::new());
        }
        if body.size_hint().lower() > max_bytes {
            return Err(responses::body_too_long(max_bytes));
        }
        let limited = Limited::new(body, max_bytes as usize);
        let collected = timeout(self.limits.timeout, limited.collect())
            .await
            .map_err(|_| responses::unreadable_body("timed out"))?;
        let collected = collected.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return responses::body_too_long(max_bytes);
            }
            responses::unreadable_body(&error.to_string())
        })?;
        Ok(collected.to_bytes().into())
    }

    /// Passes a request to the control thread and waits for its response.
    async fn call(&self, request: Request) -> Response {
        if self.serving.is_rejecting() || self.calls.is_closed() {
            return responses::shutting_down();
        }
        let mut pending = self.calls.open();
        let input = Input::Call(request, pending.number);
        if self.inputs.send(input).is_err() {
            return responses::outcome_unknown();
        }
        match timeout(self.limits.timeout, &mut pending.response).await {
            Ok(Ok(response)) => response,
            _ => responses::outcome_unknown(),
        }
    }

    fn respond(
        &self,
        response: HttpResponse,
        in_flight: InFlight,
    ) -> hyper::Response<ResponseBody> {
        let body = ResponseBody::new(response.body, in_flight);
        let mut out = hyper::Response::new(body);
        let status = StatusCode::from_u16(response.status);
        *out.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        for (name, value) in response.headers {
            let name = HeaderName::try_from(name);
            if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value)) {
                out.headers_mut().append(name, value);
            }
        }
        if self.serving.is_draining() {
            let close = HeaderValue::from_static("close");
            out.headers_mut().insert(CONNECTION, close);
        }
        out
    }
}

/// The request with the given head, without its body.
fn http_request(head: &Parts) -> HttpRequest {
    let path = head.uri.path();
    let decoded = percent_decode_str(path).decode_utf8();
    let headers = head.headers.iter().filter_map(|(name, value)| {
        let value = std::str::from_utf8(value.as_bytes()).ok()?;
        Some((name.to_string(), value.to_string()))
    });
    HttpRequest {
        method: head.method.to_string(),
        path: decoded.map_or_else(|_| path.to_string(), |decoded| decoded.to_string()),
        query: head.uri.query().unwrap_or_default().to_string(),
        headers: headers.collect(),
        body: Vec::new(),
    }
}
