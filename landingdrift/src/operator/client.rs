//! The operator's HTTP client: it repeats only what may be repeated, and nothing behind its own back.

use crate::worker_proxy::may_repeat;
use reqwest::blocking::{Client, RequestBuilder, Response};
use reqwest::{redirect, retry, Method};
use serde_json::Value;
use std::fmt;
use std::time::{Duration, Instant};

/// Why a command of the operator came to nothing.
#[derive(Debug)]
pub enum ClientError {
    Usage(String),
    Unreachable {
        at: Vec<String>,
        why: String,
    },
    Refused {
        status: u16,
        body: Value,
    },
    /// It may have been taken and may not be sent again.
    Unsure {
        at: String,
        why: String,
    },
    /// A roll-out was halted, and what was in force before is so again, as a new version.
    Halted {
        stage: String,
        why: String,
        version: u64,
    },
}

impl ClientError {
    /// The exit code that tells scripts the kind.
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
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Usage(why) => write!(f, "{why}: see 'landingdrift operator --help'"),
            Self::Unreachable { at, why } => write!(f, "no node answered at {} ({why}): check --at, or name other nodes", at.join(", ")),
            Self::Unsure { at, why } => write!(f, "it is not known whether {at} has taken this ({why}): look, then give the order again if need be"),
            Self::Halted { stage, why, version } => write!(
                f,
                "halted at stage '{stage}' ({why}); the former state is in force again as version {version}: look at status, then roll out anew"
            ),
            Self::Refused { status, body } => write!(f, "refused ({status}): {}", body["message"].as_str().unwrap_or(&body.to_string())),
        }
    }
}

/// Asks nodes, one after the other, until one gives a response or the time is over.
pub struct ControlClient {
    at: Vec<String>,
    within: Duration,
    client: Client,
}

impl ControlClient {
    pub fn new(at: Vec<String>, within: Duration) -> Result<Self, ClientError> {
        let client = Client::builder()
            .timeout(Duration::from_secs(5))
            .no_proxy()
            // The library would send a request anew when a kept connection turns out to be closed, and follow
            // redirects: whether anything is sent twice is decided here alone.
            .pool_max_idle_per_host(0)
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .build()
            .map_err(|e| ClientError::Usage(e.to_string()))?;
        Ok(Self { at, within, client })
    }

    /// Asks until a node answers. A call that may not be repeated goes on to the next node only while it is certain
    /// that no former one has taken it.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, ClientError> {
        let start = Instant::now();
        let (route, query) = path.split_once('?').unwrap_or((path, ""));
        let repeatable = may_repeat(method, route, query);
        let method =
            Method::from_bytes(method.as_bytes()).map_err(|e| ClientError::Usage(e.to_string()))?;
        let mut why = String::from("none was named");
        loop {
            let mut pause = Duration::from_millis(200);
            for at in &self.at {
                match outcome(self.request(&method, at, path, body).send()) {
                    Outcome::Done(v) => return Ok(v),
                    Outcome::Refused { status, body } => {
                        return Err(ClientError::Refused { status, body })
                    }
                    Outcome::Unsure(why) if !repeatable => {
                        let at = at.clone();
                        return Err(ClientError::Unsure { at, why });
                    }
                    Outcome::Unsure(told) => why = told,
                    Outcome::NotTaken { told, retry } => (why, pause) = (told, retry),
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

    fn request(
        &self,
        method: &Method,
        at: &str,
        path: &str,
        body: Option<&Value>,
    ) -> RequestBuilder {
        let request = self
            .client
            .request(method.clone(), format!("http://{at}{path}"));
        match body {
            Some(body) => request
                .header("Content-Type", "application/json")
                .body(body.to_string()),
            None => request,
        }
    }
}

/// What came of one request.
enum Outcome {
    Done(Value),
    Refused {
        status: u16,
        body: Value,
    },
    /// The node has surely taken nothing.
    NotTaken {
        told: String,
        retry: Duration,
    },
    /// The node may have taken it.
    Unsure(String),
}

const RETRY: Duration = Duration::from_millis(200);

fn outcome(sent: reqwest::Result<Response>) -> Outcome {
    let response = match sent {
        Ok(response) => response,
        Err(e) if e.is_connect() => {
            return Outcome::NotTaken {
                told: e.without_url().to_string(),
                retry: RETRY,
            }
        }
        Err(e) => return Outcome::Unsure(e.without_url().to_string()),
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

fn unavailable(body: &Value) -> Outcome {
    let told = body["message"].as_str().unwrap_or("not ready").to_string();
    if body["error"] == "unsure" {
        return Outcome::Unsure(told);
    }
    let retry = body["retryMs"]
        .as_u64()
        .map_or(RETRY, Duration::from_millis);
    Outcome::NotTaken { told, retry }
}
