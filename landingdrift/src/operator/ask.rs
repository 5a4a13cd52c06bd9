use reqwest::blocking::Client;
use serde_json::Value;
use std::fmt;
use std::time::{Duration, Instant};

/// Why a command of the operator came to nothing.
#[derive(Debug)]
pub enum AskDefect {
    Usage(String),
    Unreachable {
        at: Vec<String>,
        why: String,
    },
    Refused {
        status: u16,
        body: Value,
    },
    /// A roll-out was halted, and what was in force before is so again, as a new version.
    Halted {
        stage: String,
        why: String,
        version: u64,
    },
}

impl AskDefect {
    /// The exit code that tells scripts the kind.
    pub fn code(&self) -> i32 {
        match self {
            Self::Usage(_) => 2,
            Self::Unreachable { .. } => 3,
            Self::Halted { .. } => 5,
            Self::Refused { status: 409, .. } => 4,
            Self::Refused { .. } => 1,
        }
    }
}

impl fmt::Display for AskDefect {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Usage(why) => write!(f, "{why}: see 'landingdrift operator --help'"),
            Self::Unreachable { at, why } => write!(f, "no node answered at {} ({why}): check --at, or name other nodes", at.join(", ")),
            Self::Halted { stage, why, version } => write!(
                f,
                "halted at stage '{stage}' ({why}); the former state is in force again as version {version}: look at status, then roll out anew"
            ),
            Self::Refused { status, body } => write!(f, "refused ({status}): {}", body["message"].as_str().unwrap_or(&body.to_string())),
        }
    }
}

/// Asks nodes, one after the other, until one gives a verdict or the time is over.
pub struct Asker {
    at: Vec<String>,
    within: Duration,
    client: Client,
}

impl Asker {
    pub fn new(at: Vec<String>, within: Duration) -> Result<Self, AskDefect> {
        let client = Client::builder()
            .timeout(Duration::from_secs(5))
            .no_proxy()
            .build()
            .map_err(|e| AskDefect::Usage(e.to_string()))?;
        Ok(Self { at, within, client })
    }

    pub fn ask(&self, method: &str, path: &str, body: Option<&Value>) -> Result<Value, AskDefect> {
        let start = Instant::now();
        let method = reqwest::Method::from_bytes(method.as_bytes())
            .map_err(|e| AskDefect::Usage(e.to_string()))?;
        let mut why = String::from("none was named");
        loop {
            let mut pause = Duration::from_millis(200);
            for at in &self.at {
                let mut req = self
                    .client
                    .request(method.clone(), format!("http://{at}{path}"));
                if let Some(b) = body {
                    req = req
                        .header("Content-Type", "application/json")
                        .body(b.to_string());
                }
                match req.send() {
                    Ok(r) => {
                        let status = r.status().as_u16();
                        let v: Value = r.json().unwrap_or(Value::Null);
                        if status < 300 {
                            return Ok(v);
                        }
                        if status != 503 {
                            return Err(AskDefect::Refused { status, body: v });
                        }
                        pause = Duration::from_millis(v["retryMs"].as_u64().unwrap_or(200));
                        why = v["message"].as_str().unwrap_or("not ready").to_string();
                    }
                    Err(e) => why = e.without_url().to_string(),
                }
            }
            if start.elapsed() + pause > self.within {
                return Err(AskDefect::Unreachable {
                    at: self.at.clone(),
                    why,
                });
            }
            std::thread::sleep(pause);
        }
    }
}
