//! Parses and validates requests.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::HeaderMap;
use rwd_config::Configuration;
use rwd_edge::{prompt_blocks, prompt_tokens};
use rwd_types::{
    BlockHash, Millis, PoolName, Problem, ProblemKind, TierName, TierRank, Tokens, WorkspaceName,
};
use serde::Deserialize;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum accepted deadline.
const MAX_DEADLINE: Millis = Millis(24 * 3600 * 1000);
/// Output tokens of a request that names no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Tokens that a service call counts as in queues and fair shares.
const SERVICE_TOKENS: Tokens = Tokens(1);

pub(crate) const TIER_HEADER: &str = "x-tier";
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";
pub(crate) const IDEMPOTENT_HEADER: &str = "x-idempotent";

type Result<T> = std::result::Result<T, Problem>;

/// The kind of target that serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// A completion by a model engine, as a stream or as one JSON response.
    Completion { stream: bool },
    /// A service call.
    Service { idempotent: bool },
}

/// A validated request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub workspace: WorkspaceName,
    pub tier: TierName,
    pub rank: TierRank,
    pub pool: PoolName,
    pub kind: Kind,
    /// Path at the target.
    pub path: CompactString,
    pub body: Bytes,
    pub prompt: Tokens,
    pub max_output: Tokens,
    pub blocks: Vec<BlockHash>,
    pub deadline: Instant,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: CompactString,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Hash that distinguishes different requests sent under one key.
pub(crate) fn fingerprint(path: &str, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, xxh3_64_with_seed(path.as_bytes(), 0))
}

impl Job {
    /// Parses and validates a completion request.
    pub fn completion(
        cfg: &Configuration,
        workspace: &WorkspaceName,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Self> {
        let parsed: CompletionBody = parse_body(&body)?;
        let pool: Option<PoolName> = parsed.model.parse().ok();
        let model = pool.as_ref().and_then(|p| cfg.models.get(p));
        let (Some(pool), Some(model)) = (pool, model) else {
            let detail = format_compact!("field `model`: unknown model `{}`", parsed.model);
            return Err(Problem::not_run(ProblemKind::NotFound, detail));
        };
        let prompt = prompt_tokens(&parsed.prompt);
        check_max("prompt", prompt, model.max_prompt)?;
        let output = Tokens(parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS));
        check_max("max_tokens", output, model.max_output)?;
        if output.0 == 0 {
            return Err(bad_request("field `max_tokens`: must be at least 1"));
        }
        let (tier, rank, timeout) = tier_and_deadline(cfg, headers)?;
        let kind = Kind::Completion {
            stream: parsed.stream,
        };
        Ok(Self {
            workspace: workspace.clone(),
            tier,
            rank,
            kind,
            path: "/v1/completions".into(),
            prompt,
            max_output: output,
            blocks: prompt_blocks(pool.as_str(), &parsed.prompt),
            pool,
            body: streamed_body(&body)?,
            deadline: Instant::now() + timeout,
        })
    }

    /// Validates a service call; `rest` is `name/path`.
    pub fn service(
        cfg: &Configuration,
        workspace: &WorkspaceName,
        headers: &HeaderMap,
        rest: &str,
        body: Bytes,
    ) -> Result<Self> {
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let pool: Option<PoolName> = name.parse().ok();
        let Some(pool) = pool.filter(|p| cfg.services.contains_key(p)) else {
            let detail = format_compact!("path: unknown service `{name}`");
            return Err(Problem::not_run(ProblemKind::NotFound, detail));
        };
        let (tier, rank, timeout) = tier_and_deadline(cfg, headers)?;
        let marked = match header(headers, IDEMPOTENT_HEADER)? {
            None | Some("true") => true,
            Some("false") => false,
            Some(_) => return Err(bad_request("header `x-idempotent`: must be true or false")),
        };
        let idempotent = marked && cfg.idempotent(&pool, path);
        Ok(Self {
            workspace: workspace.clone(),
            tier,
            rank,
            kind: Kind::Service { idempotent },
            path: format_compact!("/{path}"),
            prompt: SERVICE_TOKENS,
            max_output: SERVICE_TOKENS,
            blocks: Vec::new(),
            pool,
            body,
            deadline: Instant::now() + timeout,
        })
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn parse_body(body: &Bytes) -> Result<CompletionBody> {
    let mut de = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let detail = format_compact!("field `{}`: {}", e.path(), e.inner());
        Problem::not_run(ProblemKind::BadRequest, detail)
    })
}

// Always requests a stream from the engine, since only a stream can be resumed.
fn streamed_body(body: &Bytes) -> Result<Bytes> {
    let parsed = serde_json::from_slice(body);
    let mut value: serde_json::Value = parsed.map_err(|e| bad_request(&format!("body: {e}")))?;
    value["stream"] = true.into();
    Ok(value.to_string().into())
}

fn check_max(field: &str, value: Tokens, max: Tokens) -> Result<()> {
    match value {
        v if v > max => {
            let detail = format_compact!("field `{field}`: {v} tokens, at most {max} are accepted");
            Err(Problem::not_run(ProblemKind::TooLarge, detail))
        }
        _ => Ok(()),
    }
}

fn tier_and_deadline(
    cfg: &Configuration,
    headers: &HeaderMap,
) -> Result<(TierName, TierRank, Duration)> {
    let named = header(headers, TIER_HEADER)?;
    let found = match named {
        Some(name) => cfg.tiers.iter().find(|(n, _)| n.as_str() == name),
        None => cfg.lowest_tier(),
    };
    let Some((name, tier)) = found else {
        let detail = format_compact!("header `x-tier`: unknown tier `{}`", named.unwrap_or(""));
        return Err(Problem::not_run(ProblemKind::BadRequest, detail));
    };
    let timeout = match header(headers, DEADLINE_HEADER)?.map(str::parse::<u64>) {
        None => tier.deadline,
        Some(Ok(ms)) if (1..=MAX_DEADLINE.0).contains(&ms) => Millis(ms),
        Some(_) => {
            let range = format_compact!("must be 1 to {MAX_DEADLINE}");
            return Err(bad_request(&format_compact!(
                "header `x-deadline-ms`: {range}"
            )));
        }
    };
    Ok((name.clone(), tier.rank, timeout.duration()))
}

/// The value of a header, if present.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let value = headers.get(name).map(|v| v.to_str());
    value
        .transpose()
        .map_err(|_| bad_request(&format_compact!("header `{name}`: not plain text")))
}

pub(crate) fn bad_request(detail: &str) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, detail)
}
