//! The operator's HTTP client. It sends a request again only if that request may be repeated. The HTTP library's own
//! retries and redirects are disabled.

use crate::worker_proxy::is_idempotent;
use reqwest::blocking::{Client, RequestBuilder, Response};
use reqwest::header::LOCATION;
use reqwest::{redirect, retry, Method, StatusCode};
use serde_json::Value;
use std::fmt;
use std::time::{Duration, Instant};

/// The timeout of a single request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of redirects that a call follows.
const MAX_REDIRECTS: usize = 2;
/// The pause before all nodes are tried again, unless a node's response specifies a pause.
const DEFAULT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An error that makes an operator's command fail.
#[derive(Debug)]
pub enum ClientError {
    /// The command line is invalid.
    Usage(String),
    /// No node accepted the request within the timeout.
    Unreachable {
        /// The addresses of the nodes that were called.
        nodes: Vec<String>,
        /// The error of the last attempt.
        error: String,
    },
    /// A node rejected the request.
    Rejected {
        /// The HTTP status code.
        status: u16,
        /// The body of the response, with the error and a message.
        body: Value,
    },
    /// The request may have taken effect, and must not be sent again.
    OutcomeUnknown {
        /// The address of the node that was called.
        node: String,
        /// The error because of which the outcome is unknown.
        error: String,
    },
    /// A roll-out was halted and rolled back: the previous configuration is in force again, as a new version.
    Halted {
        /// The stage that was halted.
        stage: String,
        /// The reason for which the roll-out was halted.
        reason: String,
        /// The new version, which has the previous content.
        version: u64,
    },
}

impl ClientError {
    /// The exit code of the command, by which scripts distinguish the errors.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Usage(_) => 2,
            Self::Unreachable { .. } => 3,
            Self::Halted { .. } => 5,
            Self::Rejected { status: 409, .. } => 4,
            Self::Rejected { .. } => 1,
            Self::OutcomeUnknown { .. } => 6,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Usage(error) => write!(formatter, "{error}: see 'landingdrift operator --help'"),
            Self::Unreachable { nodes, error } => write!(formatter, "no node accepted the request at {}: {error}; check --at, or pass the addresses of other nodes", nodes.join(", ")),
            Self::OutcomeUnknown { node, error } => write!(formatter, "unknown whether {node} executed the command: {error}; check the state, and repeat the command if it had no effect"),
            Self::Halted { stage, reason, version } => write!(
                formatter,
                "roll-out halted at stage '{stage}': {reason}; the previous configuration is in force again as version {version}; check 'status' before the next roll-out"
            ),
            Self::Rejected { status, body } => write!(formatter, "request rejected with status {status}: {}", body["message"].as_str().unwrap_or(&body.to_string())),
        }
    }
}

/// Calls the nodes one after the other, until one accepts or rejects the request or the timeout expires.
pub struct ControlClient {
    /// The addresses of the nodes.
    nodes: Vec<String>,
    /// The time for which a call is retried.
    timeout: Duration,
    client: Client,
}

impl ControlClient {
    /// A client for the nodes at these addresses, which retries each call for up to `timeout`.
    pub fn new(nodes: Vec<String>, timeout: Duration) -> Result<Self, ClientError> {
        let client = Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            // By default the library resends a request if a pooled connection turns out to be closed, and follows
            // redirects. Only this module may decide to send a request twice.
            .pool_max_idle_per_host(0)
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .build()
            .map_err(|error| ClientError::Usage(error.to_string()))?;
        Ok(Self {
            nodes,
            timeout,
            client,
        })
    }

    /// Calls nodes until one accepts or rejects the request. A request that must not be repeated is sent to the next
    /// node only if it certainly had no effect at the earlier ones.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, ClientError> {
        let start = Instant::now();
        let (route, query) = path.split_once('?').unwrap_or((path, ""));
        let is_repeatable = is_idempotent(method, route, query);
        let method = Method::from_bytes(method.as_bytes())
            .map_err(|error| ClientError::Usage(error.to_string()))?;
        let mut last_error = String::from("no node was given");
        loop {
            let mut pause = DEFAULT_RETRY_PAUSE;
            for node in &self.nodes {
                match classify(self.send(&method, node, path, body, is_repeatable)) {
                    Outcome::Done(body) => return Ok(body),
                    Outcome::Rejected { status, body } => {
                        return Err(ClientError::Rejected { status, body })
                    }
                    Outcome::Unknown(error) if !is_repeatable => {
                        let node = node.clone();
                        return Err(ClientError::OutcomeUnknown { node, error });
                    }
                    Outcome::Unknown(message) => last_error = message,
                    Outcome::NoEffect {
                        message,
                        retry_after,
                    } => {
                        last_error = message;
                        pause = retry_after;
                    }
                }
            }
            if start.elapsed() + pause > self.timeout {
                return Err(ClientError::Unreachable {
                    nodes: self.nodes.clone(),
                    error: last_error,
                });
            }
            std::thread::sleep(pause);
        }
    }

    /// Sends a request to a node. A request that may be repeated follows redirects, up to a limit.
    fn send(
        &self,
        method: &Method,
        node: &str,
        path: &str,
        body: Option<&Value>,
        is_repeatable: bool,
    ) -> reqwest::Result<Response> {
        let url = format!("http://{node}{path}");
        let mut response = self.request(method, &url, body).send()?;
        for _ in 0..MAX_REDIRECTS {
            let location = response.headers().get(LOCATION);
            let location = location.and_then(|location| location.to_str().ok());
            let is_redirect = response.status() == StatusCode::TEMPORARY_REDIRECT;
            let Some(location) = location.filter(|_| is_redirect && is_repeatable) else {
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

/// The outcome of a single request.
enum Outcome {
    Done(Value),
    Rejected {
        status: u16,
        body: Value,
    },
    /// The request certainly had no effect.
    NoEffect {
        message: String,
        retry_after: Duration,
    },
    /// The request may have taken effect.
    Unknown(String),
}

fn classify(send_result: reqwest::Result<Response>) -> Outcome {
    let response = match send_result {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return Outcome::NoEffect {
                message: error.without_url().to_string(),
                retry_after: DEFAULT_RETRY_PAUSE,
            }
        }
        Err(error) => return Outcome::Unknown(error.without_url().to_string()),
    };
    let status = response.status().as_u16();
    let body: Option<Value> = response.json().ok();
    match (status, body) {
        (200..=299, Some(body)) => Outcome::Done(body),
        (200..=299 | 503, None) => {
            Outcome::Unknown("the response was incomplete or not JSON".into())
        }
        (503, Some(body)) => classify_unavailable(&body),
        (_, body) => Outcome::Rejected {
            status,
            body: body.unwrap_or_default(),
        },
    }
}

/// The outcome of a request that a node answered with status 503.
fn classify_unavailable(body: &Value) -> Outcome {
    let message = body["message"].as_str().unwrap_or("not ready").to_string();
    if body["error"] == "unsure" {
        return Outcome::Unknown(message);
    }
    let retry_ms = body["retryMs"].as_u64();
    Outcome::NoEffect {
        message,
        retry_after: retry_ms.map_or(DEFAULT_RETRY_PAUSE, Duration::from_millis),
    }
}
