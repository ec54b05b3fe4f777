//! What operators tell a node.

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use rwd_control::{Edit, Published};
use rwd_edge::{Error as EdgeError, HttpClient};
use rwd_types::{PresetName, Revision};
use serde_json::{Value, json};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::timeout;

use crate::resolved::{Format, Operator};
use crate::{Error, Result};

/// How long a node may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Publishes a file.
pub(crate) async fn publish(
    to: &Operator,
    file: &Path,
    base: Option<Revision>,
) -> Result<ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|source| Error::File {
        path: file.display().to_string(),
        source,
    })?;
    // Checked here too, so that a wrong file is refused without a node.
    let config = rwd_config::Configuration::from_json(&text)?.to_value();
    send(to, &Edit::Replace { config }, base).await
}

/// Puts a preset in force.
pub(crate) async fn preset(to: &Operator, name: PresetName) -> Result<ExitCode> {
    send(to, &Edit::Preset { name }, None).await
}

/// Marks a node or a target for a planned stop, or takes the mark back.
pub(crate) async fn drain(to: &Operator, name: String, on: bool) -> Result<ExitCode> {
    let name = name.into();
    send(to, &Edit::Drain { name, on }, None).await
}

async fn send(to: &Operator, edit: &Edit, base: Option<Revision>) -> Result<ExitCode> {
    let body = json!({
        "id": format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>()),
        "by": to.by,
        "base": base,
        "edit": edit,
    });
    let answer = ask(to, Method::POST, "/admin/v1/publish", body.to_string()).await?;
    let published: Published = serde_json::from_value(answer)?;
    println!(
        "revision {} accepted; revision {} in force",
        published.revision, published.in_force
    );
    Ok(ExitCode::SUCCESS)
}

/// Shows the status of a node.
pub(crate) async fn status(to: &Operator, format: Format) -> Result<ExitCode> {
    let status = ask(to, Method::GET, "/admin/v1/status", String::new()).await?;
    match format {
        Format::Json => println!("{status:#}"),
        Format::Table => print_status(&status),
    }
    Ok(ExitCode::SUCCESS)
}

async fn ask(to: &Operator, method: Method, path: &str, body: String) -> Result<Value> {
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
            .map_err(|e| EdgeError::Broken {
                message: e.to_string().into(),
            })?;
        Ok::<_, EdgeError>((status, body.to_bytes()))
    };
    let (status, body) = timeout(ANSWER_TIMEOUT, call)
        .await
        .unwrap_or(Err(EdgeError::Timeout))?;
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    match (status.is_success(), value["error"].as_str()) {
        (true, _) => Ok(value),
        (false, Some(error)) => Err(Error::Refused {
            message: error.to_owned(),
        }),
        (false, None) => Err(Error::Refused {
            message: format!(
                "the node answered with status {status}; is the operator token right?"
            ),
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
