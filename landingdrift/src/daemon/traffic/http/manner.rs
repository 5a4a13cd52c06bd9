use crate::daemon::control::Input;
use crate::kernel::{Request, Verdict};
use serde_json::Value;
use std::sync::Arc;

/// A call as it came over HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// An answer as it goes out over HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// How calls at an address become inputs, and verdicts replies.
#[derive(Clone)]
pub struct Manner {
    /// The input for a call, which carries the call's number.
    pub read: Arc<dyn Fn(Asked, u64) -> Input + Send + Sync>,
    /// The reply for a verdict, also for those given before anybody is asked.
    pub write: Arc<dyn Fn(Verdict) -> Reply + Send + Sync>,
}

impl Default for Manner {
    /// The manner of landingdrift's own pages: JSON, and text where the body is a string.
    fn default() -> Self {
        Self {
            read: Arc::new(read),
            write: Arc::new(write),
        }
    }
}

fn read(a: Asked, call: u64) -> Input {
    let req = Request {
        method: a.method,
        path: a.path,
        query: a.query,
        body: a.body,
    };
    Input::Call(req, call)
}

fn write(mut v: Verdict) -> Reply {
    let retry = Some(v.retry_ms).filter(|ms| *ms > 0);
    if let (Some(ms), Value::Object(o)) = (retry, &mut v.body) {
        o.insert("retryMs".into(), ms.into());
    }
    let (kind, text) = match v.body {
        Value::String(s) => ("text/plain; charset=utf-8", s),
        other => ("application/json", other.to_string() + "\n"),
    };
    let headers = retry
        .map(|ms| ("Retry-After".into(), ms.div_ceil(1000).to_string()))
        .into_iter()
        .chain([("Content-Type".into(), kind.into())])
        .collect();
    Reply {
        status: v.status,
        headers,
        body: text.into_bytes(),
    }
}
