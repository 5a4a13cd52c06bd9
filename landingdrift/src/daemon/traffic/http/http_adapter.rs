use crate::sans_io::{Request, Response};
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

/// What is done with a call.
pub enum Handling {
    /// The part is asked, and its response told so.
    Ask(Request, Box<dyn FnOnce(Response) -> Reply + Send>),
    /// It is answered without asking.
    Reply(Reply),
}

/// How calls at an address become requests, and responses replies.
#[derive(Clone)]
pub struct HttpAdapter {
    pub(super) read: Arc<dyn Fn(Asked) -> Handling + Send + Sync>,
}

impl HttpAdapter {
    /// A manner of one's own.
    pub fn new(read: Arc<dyn Fn(Asked) -> Handling + Send + Sync>) -> Self {
        Self { read }
    }
}

impl Default for HttpAdapter {
    /// The manner of landingdrift's own pages: JSON, and text where the body is a string.
    fn default() -> Self {
        Self::new(Arc::new(read))
    }
}

fn read(a: Asked) -> Handling {
    let req = Request {
        method: a.method,
        path: a.path,
        query: a.query,
        body: a.body,
    };
    Handling::Ask(req, Box::new(write))
}

/// A response in the manner of landingdrift's own pages.
pub(super) fn write(mut v: Response) -> Reply {
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
