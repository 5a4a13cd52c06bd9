use super::http_adapter::write;
use super::serving::{Body, InFlight, ServingState};
use super::{Asked, Handling, HttpAdapter, HttpLimits, Reply};
use crate::daemon::calls::Calls;
use crate::daemon::input::Input;
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

/// When a caller that found no response should come back.
const RETRY_MS: u64 = 1000;

/// Where calls at one address come in.
#[derive(Clone)]
pub struct RequestHandler {
    pub limits: HttpLimits,
    pub http_adapter: HttpAdapter,
    pub calls: Calls,
    pub inputs: Sender<Input>,
    pub serving: ServingState,
    pub places: Arc<Semaphore>,
}

impl RequestHandler {
    async fn reply(&self, req: &Request<'_>, data: Data<'_>) -> Reply {
        match self.places.try_acquire() {
            Ok(_place) => match self.body(data).await {
                Ok(body) => match (self.http_adapter.read)(asked(req, body)) {
                    Handling::Ask(req, tell) => tell(self.ask(req).await),
                    Handling::Reply(r) => r,
                },
                Err(refusal) => write(refusal),
            },
            Err(_) => write(Response::error(
                503,
                "busy",
                "this process works on as many calls as it may and took nothing of this one: come back later, or go to another node",
            )
            .retry(RETRY_MS)),
        }
    }

    async fn body(&self, data: Data<'_>) -> Result<Vec<u8>, Response> {
        let most = self.limits.bytes;
        let unread = |why: String| {
            let message = format!("the body could not be read ({why}): send it again");
            Response::error(400, "noBody", message)
        };
        let whole = timeout(self.limits.patience, data.open(most.bytes()).into_bytes())
            .await
            .map_err(|_| unread("it came too slowly".into()))?
            .map_err(|e| unread(e.to_string()))?;
        let complete = whole.is_complete();
        complete.then(|| whole.into_inner()).ok_or_else(|| {
            let message = format!("no body may have more than {most} bytes: send less");
            Response::error(413, "tooLarge", message)
        })
    }

    async fn ask(&self, req: crate::sans_io::Request) -> Response {
        if self.serving.refuses() || self.calls.closed() {
            return leaving();
        }
        let mut waiting = self.calls.open();
        if self.inputs.send(Input::Call(req, waiting.call)).is_err() {
            return unsure();
        }
        timeout(self.limits.patience, &mut waiting.response)
            .await
            .ok()
            .and_then(Result::ok)
            .unwrap_or_else(unsure)
    }

    fn respond<'r>(&self, reply: Reply, in_flight: InFlight) -> RocketResponse<'r> {
        let mut b = RocketResponse::build();
        b.status(Status::new(reply.status));
        reply.headers.into_iter().for_each(|(k, v)| {
            b.header_adjoin(Header::new(k, v));
        });
        if self.serving.leaves() {
            b.header(Header::new("Connection", "close"));
        }
        b.sized_body(reply.body.len(), Body::new(reply.body, in_flight))
            .finalize()
    }
}

/// The answer to a call that was not handed to anybody, since the process ends.
fn leaving() -> Response {
    let message = "this process ends and took nothing of this call: go to another one";
    Response::error(503, "leaving", message).retry(RETRY_MS)
}

/// The answer to a call that was handed on and found no response.
fn unsure() -> Response {
    let message = "this process gave no verdict: ask again, here or at another node";
    Response::error(503, "unsure", message).retry(RETRY_MS)
}

fn asked(req: &Request<'_>, body: Vec<u8>) -> Asked {
    let uri = req.uri();
    let path = uri.path();
    Asked {
        method: req.method().as_str().into(),
        path: path
            .percent_decode()
            .map_or_else(|_| path.to_string(), |p| p.to_string()),
        query: uri.query().map_or(String::new(), |q| q.to_string()),
        headers: req
            .headers()
            .iter()
            .map(|h| (h.name.to_string(), h.value.to_string()))
            .collect(),
        body,
    }
}

#[rocket::async_trait]
impl Handler for RequestHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let in_flight = self.serving.enter();
        let reply = self.reply(req, data).await;
        Outcome::Success(self.respond(reply, in_flight))
    }
}

/// What the library refuses before it reaches us is told in the same manner.
#[rocket::async_trait]
impl catcher::Handler for RequestHandler {
    async fn handle<'r>(&self, status: Status, _: &'r Request<'_>) -> catcher::Result<'r> {
        let message = format!("the request is no HTTP that is served here ({}): docs/operators/api.md lists methods and routes", status.reason_lossy());
        let response = Response::error(status.code, "wrongRequest", message);
        Ok(self.respond(write(response), self.serving.enter()))
    }
}
