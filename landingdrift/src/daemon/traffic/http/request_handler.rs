//! Handles the HTTP requests of one address.

use super::http_adapter::write;
use super::serving::{Body, InFlight, ServingState};
use super::{HandlerAction, HttpAdapter, HttpLimits, HttpRequest, HttpResponse};
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

/// When a caller that got no response of the part should come back, in milliseconds.
const RETRY_MS: u64 = 1000;

/// The handler of all requests at one address.
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
            return write(busy());
        };
        let body = match self.read_body(data).await {
            Ok(body) => body,
            Err(refusal) => return write(refusal),
        };
        match (self.http_adapter.read)(http_request(request, body)) {
            HandlerAction::Call(request, translate) => translate(self.call(request).await),
            HandlerAction::Respond(response) => response,
        }
    }

    async fn read_body(&self, data: Data<'_>) -> Result<Vec<u8>, Response> {
        let max_bytes = self.limits.body_bytes;
        let unread = |why: String| {
            let message = format!("the body could not be read ({why}): send it again");
            Response::error(400, "noBody", message)
        };
        let whole = timeout(
            self.limits.timeout,
            data.open(max_bytes.bytes()).into_bytes(),
        )
        .await
        .map_err(|_| unread("it came too slowly".into()))?
        .map_err(|why| unread(why.to_string()))?;
        if !whole.is_complete() {
            let message = format!("no body may have more than {max_bytes} bytes: send less");
            return Err(Response::error(413, "tooLarge", message));
        }
        Ok(whole.into_inner())
    }

    /// Passes a request to the control thread, and waits for the response.
    async fn call(&self, request: crate::sans_io::Request) -> Response {
        if self.serving.is_refusing() || self.calls.is_closed() {
            return leaving();
        }
        let mut pending = self.calls.open();
        let input = Input::Call(request, pending.number);
        if self.inputs.send(input).is_err() {
            return unsure();
        }
        match timeout(self.limits.timeout, &mut pending.response).await {
            Ok(Ok(response)) => response,
            _ => unsure(),
        }
    }

    fn respond<'r>(&self, response: HttpResponse, in_flight: InFlight) -> RocketResponse<'r> {
        let mut builder = RocketResponse::build();
        builder.status(Status::new(response.status));
        for (name, value) in response.headers {
            builder.header_adjoin(Header::new(name, value));
        }
        if self.serving.is_leaving() {
            builder.header(Header::new("Connection", "close"));
        }
        builder
            .sized_body(response.body.len(), Body::new(response.body, in_flight))
            .finalize()
    }
}

/// The response to a call that exceeds the limit of calls at once.
fn busy() -> Response {
    let message = "this process works on as many calls as it may and took nothing of this one: come back later, or go to another node";
    Response::error(503, "busy", message).retry(RETRY_MS)
}

/// The response to a call that was not passed on because the process shuts down.
fn leaving() -> Response {
    let message = "this process ends and took nothing of this call: go to another one";
    Response::error(503, "leaving", message).retry(RETRY_MS)
}

/// The response to a call that was passed on and got no response: its outcome is unknown.
fn unsure() -> Response {
    let message = "this process gave no verdict: ask again, here or at another node";
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
        let in_flight = self.serving.enter();
        let response = self.reply(request, data).await;
        Outcome::Success(self.respond(response, in_flight))
    }
}

/// What the library refuses by itself is answered in the same form.
#[rocket::async_trait]
impl catcher::Handler for RequestHandler {
    async fn handle<'r>(&self, status: Status, _: &'r Request<'_>) -> catcher::Result<'r> {
        let message = format!("the request is no HTTP that is served here ({}): docs/operators/api.md lists methods and routes", status.reason_lossy());
        let response = Response::error(status.code, "wrongRequest", message);
        Ok(self.respond(write(response), self.serving.enter()))
    }
}
