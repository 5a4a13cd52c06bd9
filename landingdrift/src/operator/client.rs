//! The operator's HTTP client: it repeats only what may be repeated, and never implicitly.

use crate::worker_proxy::may_repeat;
use reqwest::blocking::{Client, RequestBuilder, Response};
use reqwest::header::LOCATION;
use reqwest::{redirect, retry, Method, StatusCode};
use serde_json::Value;
use std::fmt;
use std::time::{Duration, Instant};

/// How long one request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a call follows a redirect.
const MAX_REDIRECTS: usize = 2;
/// The pause before the nodes are called again, unless one says otherwise.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);

/// Why a command of the operator failed.
#[derive(Debug)]
pub enum ClientError {
    /// The command line can't be read.
    Usage(String),
    /// No node has answered.
    Unreachable {
        /// The nodes that were asked.
        at: Vec<String>,
        /// What the last one came to.
        why: String,
    },
    /// The system has refused.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        body: Value,
    },
    /// It may have had its effect, and may not be sent again.
    Unsure {
        /// The node that was asked.
        at: String,
        /// What went wrong after it may have taken the order.
        why: String,
    },
    /// A roll-out was halted, and the configuration before it is in force again, as a new version.
    Halted {
        /// The stage at which the roll-out halted.
        stage: String,
        /// Why it halted.
        why: String,
        /// The version that is in force again.
        version: u64,
    },
}

impl ClientError {
    /// The exit code, by which scripts distinguish the kinds.
    pub fn code(&self) -> i32 {
        match self {
            Self::Usage(_) => 2,
            Self::Unreachable { .. } => 3,
            Self::Halted { .. } => 5,
            Self::Refused { status: 409, .. } => 4,
            Self::Refused { .. } => 1,
            Self::Unsure { .. } => 6,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Usage(why) => write!(formatter, "{why}: see 'landingdrift operator --help'"),
            Self::Unreachable { at, why } => write!(formatter, "no node answered at {} ({why}): check --at, or name other nodes", at.join(", ")),
            Self::Unsure { at, why } => write!(formatter, "it is not known whether {at} has taken this ({why}): look, then give the order again if need be"),
            Self::Halted { stage, why, version } => write!(
                formatter,
                "halted at stage '{stage}' ({why}); the former state is in force again as version {version}: look at status, then roll out anew"
            ),
            Self::Refused { status, body } => write!(formatter, "refused ({status}): {}", body["message"].as_str().unwrap_or(&body.to_string())),
        }
    }
}

/// Calls nodes, one after the other, until one responds or the time is over.
pub struct ControlClient {
    /// The addresses of the nodes.
    at: Vec<String>,
    within: Duration,
    client: Client,
}

impl ControlClient {
    /// A client of the nodes at these addresses, which tries each call for the given time.
    pub fn new(at: Vec<String>, within: Duration) -> Result<Self, ClientError> {
        let client = Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            // The library would resend a request when a pooled connection turns out to be closed, and follow redirects:
            // whether anything is sent twice is decided here alone.
            .pool_max_idle_per_host(0)
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .build()
            .map_err(|why| ClientError::Usage(why.to_string()))?;
        Ok(Self { at, within, client })
    }

    /// Calls nodes until one responds. A call that may not be repeated is sent to the next node only while it is
    /// certain that it had no effect at an earlier one.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, ClientError> {
        let start = Instant::now();
        let (route, query) = path.split_once('?').unwrap_or((path, ""));
        let repeatable = may_repeat(method, route, query);
        let method = Method::from_bytes(method.as_bytes())
            .map_err(|why| ClientError::Usage(why.to_string()))?;
        let mut why = String::from("none was named");
        loop {
            let mut pause = DEFAULT_PAUSE;
            for at in &self.at {
                match outcome(self.send(&method, at, path, body, repeatable)) {
                    Outcome::Done(body) => return Ok(body),
                    Outcome::Refused { status, body } => {
                        return Err(ClientError::Refused { status, body })
                    }
                    Outcome::Unsure(why) if !repeatable => {
                        let at = at.clone();
                        return Err(ClientError::Unsure { at, why });
                    }
                    Outcome::Unsure(message) => why = message,
                    Outcome::NotTaken {
                        message,
                        retry_after,
                    } => {
                        why = message;
                        pause = retry_after;
                    }
                }
            }
            if start.elapsed() + pause > self.within {
                return Err(ClientError::Unreachable {
                    at: self.at.clone(),
                    why,
                });
            }
            std::thread::sleep(pause);
        }
    }

    /// Sends a request to a node. A call that may be repeated follows redirects, up to a limit.
    fn send(
        &self,
        method: &Method,
        at: &str,
        path: &str,
        body: Option<&Value>,
        repeatable: bool,
    ) -> reqwest::Result<Response> {
        let url = format!("http://{at}{path}");
        let mut response = self.request(method, &url, body).send()?;
        for _ in 0..MAX_REDIRECTS {
            let location = response.headers().get(LOCATION);
            let location = location.and_then(|location| location.to_str().ok());
            let is_redirect = response.status() == StatusCode::TEMPORARY_REDIRECT;
            let Some(location) = location.filter(|_| is_redirect && repeatable) else {
                break;
            };
            let location = location.to_string();
            response = self.request(method, &location, body).send()?;
        }
        Ok(response)
    }

    fn request(&self, method: &Method, url: &str, body: Option<&Value>) -> RequestBuilder {
        let request = self.client.request(method.clone(), url);
        match body {
            Some(body) => request
                .header("Content-Type", "application/json")
                .body(body.to_string()),
            None => request,
        }
    }
}

/// The outcome of one request.
enum Outcome {
    Done(Value),
    Refused {
        status: u16,
        body: Value,
    },
    /// The request certainly had no effect.
    NotTaken {
        message: String,
        retry_after: Duration,
    },
    /// The request may have had its effect.
    Unsure(String),
}

fn outcome(sent: reqwest::Result<Response>) -> Outcome {
    let response = match sent {
        Ok(response) => response,
        Err(why) if why.is_connect() => {
            return Outcome::NotTaken {
                message: why.without_url().to_string(),
                retry_after: DEFAULT_PAUSE,
            }
        }
        Err(why) => return Outcome::Unsure(why.without_url().to_string()),
    };
    let status = response.status().as_u16();
    let body: Option<Value> = response.json().ok();
    match (status, body) {
        (200..=299, Some(body)) => Outcome::Done(body),
        (200..=299 | 503, None) => Outcome::Unsure("its answer broke off".into()),
        (503, Some(body)) => unavailable(&body),
        (_, body) => Outcome::Refused {
            status,
            body: body.unwrap_or_default(),
        },
    }
}

/// The outcome that a node means by status 503.
fn unavailable(body: &Value) -> Outcome {
    let message = body["message"].as_str().unwrap_or("not ready").to_string();
    if body["error"] == "unsure" {
        return Outcome::Unsure(message);
    }
    let retry_ms = body["retryMs"].as_u64();
    Outcome::NotTaken {
        message,
        retry_after: retry_ms.map_or(DEFAULT_PAUSE, Duration::from_millis),
    }
}
