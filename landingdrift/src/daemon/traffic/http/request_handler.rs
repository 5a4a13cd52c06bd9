//! Handles the HTTP requests that arrive at one address.

use super::client_usage::{ClientUsage, METRICS_PATH};
use super::connections::{AddressConnections, OpenConnection};
use super::http_adapter::format_response;
use super::memory_budget::{AddressBudget, Charge, OutOfMemory, LARGE_BYTES};
use super::request_body::{self, BodyError};
use super::responses;
use super::serving::{InFlight, ResponseBody, ServingState};
use super::{AdapterResult, HttpAdapter, HttpLimits, HttpRequest, HttpResponse};
use crate::daemon::input::Input;
use crate::daemon::pending_calls::PendingCalls;
use crate::sans_io::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use percent_encoding::percent_decode_str;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::error::Elapsed;
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

/// The number of copies of a request that are held until it is answered: the request itself, and the proposal or frame
/// made of it.
const HELD_COPIES: u64 = 2;

/// Handles all requests at one address.
pub struct RequestHandler {
    pub limits: HttpLimits,
    pub http_adapter: HttpAdapter,
    pub calls: PendingCalls,
    pub inputs: Sender<Input>,
    pub serving: ServingState,
    pub permits: Semaphore,
    pub memory: AddressBudget,
    pub connections: AddressConnections,
    /// What the clients of all addresses make the process hold.
    pub usage: ClientUsage,
    /// The right to execute calls with large responses, which all addresses of the process share.
    pub large_responses: Arc<Semaphore>,
}

/// A response, with the memory that is charged for its body if it is large.
struct Reply {
    response: HttpResponse,
    charge: Option<Arc<Charge>>,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Self {
        Self {
            response: format_response(response),
            charge: None,
        }
    }
}

impl RequestHandler {
    /// Handles a request; returns the response.
    pub async fn handle(
        self: &Arc<Self>,
        request: hyper::Request<Incoming>,
        connection: Arc<OpenConnection>,
    ) -> hyper::Response<ResponseBody> {
        let in_flight = self.serving.begin_call();
        // A task of its own executes the call to its end even if the caller hangs up.
        let reply = tokio::spawn(self.clone().reply(request, connection)).await;
        let reply = reply.unwrap_or_else(|_| responses::outcome_unknown().into());
        self.respond(reply, in_flight)
    }

    async fn reply(
        self: Arc<Self>,
        request: hyper::Request<Incoming>,
        connection: Arc<OpenConnection>,
    ) -> Reply {
        if !METHODS.contains(request.method()) {
            return responses::unknown_method(request.method().as_str()).into();
        }
        let (head, body) = request.into_parts();
        let mut http_request = http_request(&head);
        let charge = Arc::new(self.memory.charge(connection.progress()));
        match self
            .read_body(&http_request, body, &charge, &connection)
            .await
        {
            Ok(body) => http_request.body = body,
            Err(error_response) => return error_response.into(),
        }
        let Ok(_turn) = self.turn_for_large_response(&http_request).await else {
            return responses::busy().into();
        };
        let _busy = connection.wait_for_call();
        // A request that has only been read in part does not count as a call.
        let Ok(_permit) = self.permits.try_acquire() else {
            return responses::busy().into();
        };
        // Calls with a body have an identity, under which their callers repeat them: executing the first saves time.
        if http_request.body.is_empty() && connection.has_hung_up() {
            return responses::abandoned().into();
        }
        let response = self.execute(http_request, &charge).await;
        charge_response(response, charge, &connection)
    }

    /// Waits for the right to execute a call with a large response. No right is needed for other calls.
    async fn turn_for_large_response(
        &self,
        request: &HttpRequest,
    ) -> Result<Option<SemaphorePermit<'_>>, Elapsed> {
        if !(self.http_adapter.has_large_response)(&request.method, &request.path) {
            return Ok(None);
        }
        let turn = timeout(self.limits.timeout, self.large_responses.acquire()).await?;
        Ok(turn.ok())
    }

    async fn execute(&self, request: HttpRequest, charge: &Arc<Charge>) -> HttpResponse {
        let (request, translate) = match (self.http_adapter.translate_request)(request) {
            AdapterResult::Call(request, translate) => (request, translate),
            AdapterResult::Respond(response) => return response,
        };
        // The body is gone by now; what was made of it may be longer.
        let translated_bytes = request.body.len() as u64;
        if charge.resize(HELD_COPIES * translated_bytes).is_err() {
            return translate(responses::out_of_memory());
        }
        let asks_for_metrics = request.path == METRICS_PATH;
        let mut response = self.call(request, charge.clone()).await;
        if asks_for_metrics {
            self.usage.append_metrics(&mut response);
        }
        translate(response)
    }

    /// Reads the body of a request, if the request needs one.
    async fn read_body(
        &self,
        request: &HttpRequest,
        body: Incoming,
        charge: &Charge,
        connection: &OpenConnection,
    ) -> Result<Vec<u8>, Response> {
        let limit = (self.http_adapter.body_limit)(&request.method, &request.path);
        let max_bytes = limit.min(self.limits.body_bytes);
        if max_bytes == 0 {
            if !body.is_end_stream() {
                connection.leave_body_unread();
            }
            return Ok(Vec::new());
        }
        let read = request_body::read(body, max_bytes, self.limits.timeout, charge).await;
        // Once the body is complete, the call is executed whatever happens.
        let pinned = read.and_then(|bytes| Ok(charge.pin().map(|()| bytes)?));
        pinned.map_err(|error| {
            connection.leave_body_unread();
            refusal(error, max_bytes)
        })
    }

    /// Passes a request to the control thread and waits for its response.
    async fn call(&self, request: Request, charge: Arc<Charge>) -> Response {
        if self.serving.is_rejecting() || self.calls.is_closed() {
            return responses::shutting_down();
        }
        let mut pending = self.calls.open();
        let input = Input::Call(request, pending.number, Some(charge));
        if self.inputs.send(input).is_err() {
            return responses::outcome_unknown();
        }
        match timeout(self.limits.timeout, &mut pending.response).await {
            Ok(Ok(response)) => response,
            _ => responses::outcome_unknown(),
        }
    }

    fn respond(&self, reply: Reply, in_flight: InFlight) -> hyper::Response<ResponseBody> {
        let Reply { response, charge } = reply;
        let body = ResponseBody::new(response.body, charge, in_flight);
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

/// The response to a request whose body was not read.
fn refusal(error: BodyError, max_bytes: u64) -> Response {
    match error {
        BodyError::TooLong => responses::body_too_long(max_bytes),
        BodyError::OutOfMemory => responses::out_of_memory(),
        BodyError::TimedOut => responses::body_timed_out(),
        BodyError::Invalid(error) => responses::invalid_body(&error.to_string()),
    }
}

/// Charges the memory for a large response in place of that for its request. If there is none, the response is replaced;
/// if the client does not read it and others need the memory, the connection is closed.
fn charge_response(
    response: HttpResponse,
    charge: Arc<Charge>,
    connection: &OpenConnection,
) -> Reply {
    let bytes = response.body.len() as u64;
    if bytes <= LARGE_BYTES {
        return Reply {
            response,
            charge: None,
        };
    }
    let charged = charge.resize(bytes);
    match charged.and_then(|()| charge.unpin(connection.close())) {
        Ok(()) => Reply {
            response,
            charge: Some(charge),
        },
        Err(OutOfMemory) => responses::no_memory_for_response().into(),
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
