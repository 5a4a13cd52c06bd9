//! Handles the HTTP requests that arrive at one address.

use super::http_adapter::format_response;
use super::serving::{Body, InFlight, ServingState};
use super::{AdapterResult, HttpAdapter, HttpLimits, HttpRequest, HttpResponse};
use crate::daemon::input::Input;
use crate::daemon::pending_calls::PendingCalls;
use crate::sans_io::Response;
use rocket::catcher;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{Header, Status};
use rocket::response::Response as RocketResponse;
use rocket::route::{Handler, Outcome};
use rocket::tokio::sync::Semaphore;
use rocket::tokio::time::timeout;
use rocket::Request;
use std::sync::mpsc::Sender;
use std::sync::Arc;

/// The time after which a caller should retry a call that the part did not answer, in milliseconds.
const RETRY_MS: u64 = 1000;

/// Handles all requests at one address.
#[derive(Clone)]
pub struct RequestHandler {
    pub limits: HttpLimits,
    pub http_adapter: HttpAdapter,
    pub calls: PendingCalls,
    pub inputs: Sender<Input>,
    pub serving: ServingState,
    pub permits: Arc<Semaphore>,
}

impl RequestHandler {
    async fn reply(&self, request: &Request<'_>, data: Data<'_>) -> HttpResponse {
        let Ok(_permit) = self.permits.try_acquire() else {
            return format_response(busy());
        };
        let body = match self.read_body(data).await {
            Ok(body) => body,
            Err(error_response) => return format_response(error_response),
        };
        match (self.http_adapter.translate_request)(http_request(request, body)) {
            AdapterResult::Call(request, translate) => translate(self.call(request).await),
            AdapterResult::Respond(response) => response,
        }
    }

    async fn read_body(&self, data: Data<'_>) -> Result<Vec<u8>, Response> {
        let max_bytes = self.limits.body_bytes;
        let unreadable = |error: String| {
            let message = format!("failed to read the request body: {error}; send it again");
            Response::error(400, "noBody", message)
        };
        let capped = timeout(
            self.limits.timeout,
            data.open(max_bytes.bytes()).into_bytes(),
        )
        .await
        .map_err(|_| unreadable("timed out".into()))?
        .map_err(|error| unreadable(error.to_string()))?;
        if !capped.is_complete() {
            let message = format!("the request body is longer than the limit of {max_bytes} bytes: send a shorter one");
            return Err(Response::error(413, "tooLarge", message));
        }
        Ok(capped.into_inner())
    }

    /// Passes a request to the control thread and waits for its response.
    async fn call(&self, request: crate::sans_io::Request) -> Response {
        if self.serving.is_rejecting() || self.calls.is_closed() {
            return shutting_down();
        }
        let mut pending = self.calls.open();
        let input = Input::Call(request, pending.number);
        if self.inputs.send(input).is_err() {
            return outcome_unknown();
        }
        match timeout(self.limits.timeout, &mut pending.response).await {
            Ok(Ok(response)) => response,
            _ => outcome_unknown(),
        }
    }

    fn respond<'r>(&self, response: HttpResponse, in_flight: InFlight) -> RocketResponse<'r> {
        let mut builder = RocketResponse::build();
        builder.status(Status::new(response.status));
        for (name, value) in response.headers {
            builder.header_adjoin(Header::new(name, value));
        }
        if self.serving.is_draining() {
            builder.header(Header::new("Connection", "close"));
        }
        builder
            .sized_body(response.body.len(), Body::new(response.body, in_flight))
            .finalize()
    }
}

/// The response to a call that exceeds the limit of concurrent calls.
fn busy() -> Response {
    let message = "this process has reached its limit of concurrent calls and did not execute this one: retry later, or call another node";
    Response::error(503, "busy", message).retry(RETRY_MS)
}

/// The response to a call that was not passed to the part because the process is shutting down.
fn shutting_down() -> Response {
    let message =
        "this process is shutting down and did not execute this call: call another process";
    Response::error(503, "leaving", message).retry(RETRY_MS)
}

/// The response to a call that was not answered in time, or not before the control thread ended, so that its outcome is
/// unknown.
fn outcome_unknown() -> Response {
    let message =
        "the call was not answered, so its outcome is unknown: ask again, here or at another node";
    Response::error(503, "unsure", message).retry(RETRY_MS)
}

fn http_request(request: &Request<'_>, body: Vec<u8>) -> HttpRequest {
    let uri = request.uri();
    let path = uri.path();
    HttpRequest {
        method: request.method().as_str().into(),
        path: path
            .percent_decode()
            .map_or_else(|_| path.to_string(), |decoded| decoded.to_string()),
        query: uri.query().map_or(String::new(), |query| query.to_string()),
        headers: request
            .headers()
            .iter()
            .map(|header| (header.name.to_string(), header.value.to_string()))
            .collect(),
        body,
    }
}

#[rocket::async_trait]
impl Handler for RequestHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let in_flight = self.serving.begin_call();
        let response = self.reply(request, data).await;
        Outcome::Success(self.respond(response, in_flight))
    }
}

/// Answers requests that the HTTP library itself rejects with JSON errors like those of the API.
#[rocket::async_trait]
impl catcher::Handler for RequestHandler {
    async fn handle<'r>(&self, status: Status, _: &'r Request<'_>) -> catcher::Result<'r> {
        let message = format!("this HTTP request can't be served ({}): docs/operators/api.md lists the methods and routes", status.reason_lossy());
        let response = Response::error(status.code, "wrongRequest", message);
        Ok(self.respond(format_response(response), self.serving.begin_call()))
    }
}
