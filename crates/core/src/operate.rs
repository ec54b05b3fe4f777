//! Operator commands, sent to the admin interface of a node.

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use rwd_control::{Edit, Published};
use rwd_edge::{Error as HttpError, HttpClient};
use rwd_types::{PresetName, Revision};
use serde_json::{Value, json};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::timeout;

use crate::resolved::{AdminEndpoint, Format};
use crate::{Error, Result};

/// Timeout for a node's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Publishes a configuration file.
pub(crate) async fn publish(
    to: &AdminEndpoint,
    file: &Path,
    base: Option<Revision>,
) -> Result<ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|source| Error::File {
        path: file.display().to_string(),
        source,
    })?;
    // Validated here too, so that an invalid file is rejected without contacting a node.
    let config = rwd_config::Configuration::from_json(&text)?.to_value();
    publish_edit(to, &Edit::Replace { config }, base).await
}

/// Activates a preset.
pub(crate) async fn preset(to: &AdminEndpoint, name: PresetName) -> Result<ExitCode> {
    publish_edit(to, &Edit::Preset { name }, None).await
}

/// Drains a node or a target, or ends its drain.
pub(crate) async fn drain(to: &AdminEndpoint, name: String, on: bool) -> Result<ExitCode> {
    let name = name.into();
    publish_edit(to, &Edit::Drain { name, on }, None).await
}

async fn publish_edit(to: &AdminEndpoint, edit: &Edit, base: Option<Revision>) -> Result<ExitCode> {
    let body = json!({
        "id": format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>()),
        "by": to.by,
        "base": base,
        "edit": edit,
    });
    let value = call_admin(to, Method::POST, "/admin/v1/publish", body.to_string()).await?;
    let published: Published = serde_json::from_value(value)?;
    println!(
        "revision {} accepted; revision {} in force",
        published.revision, published.in_force
    );
    Ok(ExitCode::SUCCESS)
}

/// Shows the status of a node.
pub(crate) async fn status(to: &AdminEndpoint, format: Format) -> Result<ExitCode> {
    let status = call_admin(to, Method::GET, "/admin/v1/status", String::new()).await?;
    match format {
        Format::Json => println!("{status:#}"),
        Format::Table => print_status(&status),
    }
    Ok(ExitCode::SUCCESS)
}

async fn call_admin(to: &AdminEndpoint, method: Method, path: &str, body: String) -> Result<Value> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", to.node))
        .header("authorization", format!("Bearer {}", to.token))
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| Error::Refused {
            message: e.to_string(),
        })?;
    let call = async {
        let response = HttpClient::default().send(req).await?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|e| HttpError::Broken {
                message: e.to_string().into(),
            })?;
        Ok::<_, HttpError>((status, body.to_bytes()))
    };
    let (status, body) = timeout(RESPONSE_TIMEOUT, call)
        .await
        .unwrap_or(Err(HttpError::Timeout))?;
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    match (status.is_success(), value["error"].as_str()) {
        (true, _) => Ok(value),
        (false, Some(error)) => Err(Error::Refused {
            message: error.to_owned(),
        }),
        (false, None) => Err(Error::Refused {
            message: format!("the node responded with status {status}; check the operator token"),
        }),
    }
}

fn print_status(status: &Value) {
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    println!(
        "{} in {} · revision {} · preset {} · leaving {}",
        text(&status["instance"]),
        text(&status["zone"]),
        status["revision"],
        text(&status["preset"]),
        status["leaving"],
    );
    println!("requests in progress {}", status["load"]["in_progress"]);
    println!("\nnodes");
    for m in status["members"].as_array().into_iter().flatten() {
        let leaving = if m["leaving"] == true { "leaving" } else { "" };
        println!(
            "  {:<16}{:<16}{leaving}",
            text(&m["name"]),
            text(&m["zone"])
        );
    }
    for shard in status["shards"].as_array().into_iter().flatten() {
        let id = &shard["shard"];
        println!(
            "\nshard {} {} of {} · waiting by tier {}",
            text(&id["group"]),
            id["index"],
            text(&id["region"]),
            shard["waiting"]
        );
        for t in shard["targets"].as_array().into_iter().flatten() {
            println!(
                "  {:<16}{:<12}{:>4} of {:<4}{:>7.1} ms a token",
                text(&t["name"]),
                text(&t["health"]),
                t["in_flight"],
                t["slots"],
                t["token_interval_ms"].as_f64().unwrap_or(0.0),
            );
        }
    }
    println!("\nleaving targets {}", status["leaving_targets"]);
}
