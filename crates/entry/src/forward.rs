//! Forwards requests between nodes, the only case in which a request body crosses nodes.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures_util::stream;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use log::info;
use rwd_peer::{Error, Exchange, Result};
use rwd_types::{InstanceName, Problem, ProblemKind, RequestKey};
use rwd_wire::{ForwardHead, Message, ResponseHead};
use std::convert::Infallible;

use crate::api::{Api, Caller};
use crate::body::full;
use crate::problem_json::problem_body;
use crate::{HomeNode, ResponseBody};

/// Maximum size of a body chunk in one message.
const CHUNK_BYTES: usize = 64 * 1024;

impl HomeNode {
    /// Forwards a request to node `to` and relays the response.
    ///
    /// # Errors
    ///
    /// Fails if `to` cannot be reached or disconnects before sending the head of its response.
    /// Whether it ran the request is then unknown.
    pub(crate) async fn forward(
        &self,
        to: &InstanceName,
        parts: &Parts,
        body: &Bytes,
        key: Option<&RequestKey>,
    ) -> Result<Response<ResponseBody>> {
        info!(decision = "forward", to:% = to, path = parts.uri.path(); "forwarding a request to another node");
        self.deps.metrics.forwarded.add(1, &[]);
        let mut ex = self
            .deps
            .links
            .open(to, &Message::Forward(Box::new(head(parts))))
            .await?;
        for chunk in body.chunks(CHUNK_BYTES) {
            ex.send(&Message::Data(chunk.to_vec())).await?;
        }
        ex.send(&Message::End).await?;
        let Message::Head(head) = ex.recv().await?.ok_or(Error::Ended)? else {
            return Err(Error::Unexpected);
        };
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() =
            StatusCode::from_u16(head.status).map_err(|_| Error::Unexpected)?;
        for (name, value) in &head.headers {
            let name = HeaderName::try_from(name.as_str()).map_err(|_| Error::Unexpected)?;
            let value = HeaderValue::try_from(value.as_str()).map_err(|_| Error::Unexpected)?;
            response.headers_mut().append(name, value);
        }
        let is_stream = response
            .headers()
            .get(header::CONTENT_TYPE)
            .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        *response.body_mut() = match is_stream {
            true => relay_body(ex, key.map(ToString::to_string)),
            // Read to the end first: only a stream can signal an interruption in its body.
            false => full(collect_body(&mut ex).await?),
        };
        Ok(response)
    }
}

fn head(parts: &Parts) -> ForwardHead {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().to_compact_string(), value.to_compact_string()))
    });
    ForwardHead {
        method: parts.method.as_str().into(),
        path: path.into(),
        headers: headers.collect(),
    }
}

async fn collect_body(ex: &mut Exchange) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match ex.recv().await?.ok_or(Error::Ended)? {
            Message::Data(data) => body.extend_from_slice(&data),
            Message::End => return Ok(body),
            _ => return Err(Error::Unexpected),
        }
    }
}

// Relays the rest of a stream. If the home node disconnects, the last event is an error.
fn relay_body(ex: Exchange, key: Option<String>) -> ResponseBody {
    let frames = stream::unfold(Some((ex, key)), |state| async move {
        let (mut ex, key) = state?;
        let (data, state) = match ex.recv().await {
            Ok(Some(Message::Data(data))) => (Bytes::from(data), Some((ex, key))),
            Ok(Some(Message::End)) => return None,
            _ => (home_lost_event(key.as_deref()), None),
        };
        Some((Ok::<_, Infallible>(Frame::data(data)), state))
    });
    StreamBody::new(frames).boxed_unsync()
}

fn home_lost_event(key: Option<&str>) -> Bytes {
    let detail = "the home of the request broke off; ask again with the same key and Last-Event-ID";
    let problem = Problem::unknown(ProblemKind::HomeLost, detail);
    format!("event: error\ndata: {}\n\n", problem_body(&problem, key)).into()
}

impl Api {
    /// Serves a request forwarded by another node.
    ///
    /// # Errors
    ///
    /// Fails if the exchange breaks; the request itself continues.
    pub async fn serve_forwarded(&self, head: ForwardHead, mut ex: Exchange) -> Result<()> {
        let body = collect_body(&mut ex).await?;
        let mut req = Request::new(());
        *req.method_mut() =
            Method::from_bytes(head.method.as_bytes()).map_err(|_| Error::Unexpected)?;
        *req.uri_mut() = head.path.parse().map_err(|_| Error::Unexpected)?;
        for (name, value) in &head.headers {
            let name = HeaderName::try_from(name.as_str()).map_err(|_| Error::Unexpected)?;
            let value = HeaderValue::try_from(value.as_str()).map_err(|_| Error::Unexpected)?;
            req.headers_mut().append(name, value);
        }
        let (parts, ()) = req.into_parts();
        let (parts, mut body) = self
            .handle(parts, body.into(), Caller::Peer)
            .await
            .into_parts();
        let headers = parts.headers.iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((
                CompactString::from(name.as_str()),
                value.to_compact_string(),
            ))
        });
        let head = ResponseHead {
            status: parts.status.as_u16(),
            headers: headers.collect(),
        };
        ex.send(&Message::Head(head)).await?;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame;
            if let Ok(data) = frame.into_data() {
                ex.send(&Message::Data(data.to_vec())).await?;
            }
        }
        ex.send_last(&Message::End).await
    }
}
