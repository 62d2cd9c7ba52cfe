//! `plantainmill admin`: operator client of the administration API.

use super::client::{AdminCall, OperatorArgs};
use anyhow::Context as _;
use awc::http::Method;
use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::path::PathBuf;

/// Options of `admin`.
#[derive(Args, Debug)]
pub struct AdminArgs {
    #[command(flatten)]
    operator: OperatorArgs,
    #[command(subcommand)]
    action: AdminAction,
}

#[derive(Debug, Subcommand)]
enum AdminAction {
    /// Print a resource or a list, such as `organisations` or `services/assistant`.
    Get {
        /// Path below `/admin/v1/`.
        path: String,
    },
    /// Show the difference between a fleet file and the fleet, and apply it.
    Apply {
        /// Fleet configuration in TOML.
        file: PathBuf,
        /// Why, for the history.
        #[arg(long)]
        reason: String,
        /// Only show the difference.
        #[arg(long)]
        dry_run: bool,
        /// Apply only to this version of the fleet.
        #[arg(long)]
        version: Option<u64>,
    },
    /// Print who changed what, when and why.
    History {
        /// Most entries, newest first.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Put the configuration of an earlier version in force again, as a new version.
    Rollback {
        /// Version to return to.
        version: u64,
        /// Why, for the history.
        #[arg(long)]
        reason: String,
    },
    /// Issue, list and withdraw keys of an organisation.
    Keys {
        #[command(subcommand)]
        action: KeyAction,
    },
    /// List the batch jobs of all organisations.
    Batches,
    /// Stop the VM gracefully: not ready, finish, exit.
    Drain,
    /// List the VMs as this VM sees them.
    Vms,
}

#[derive(Debug, Subcommand)]
enum KeyAction {
    /// Issue a key; its secret is shown once.
    Issue {
        /// Organisation.
        organisation: String,
        /// What the key is for.
        #[arg(long)]
        label: String,
        /// Why, for the history.
        #[arg(long)]
        reason: String,
        /// Unix seconds after which the key is refused.
        #[arg(long)]
        expires_at: Option<u64>,
    },
    /// List the keys of an organisation.
    List {
        /// Organisation.
        organisation: String,
    },
    /// Withdraw a key everywhere.
    Withdraw {
        /// Organisation.
        organisation: String,
        /// Key id.
        key: String,
        /// Why, for the history.
        #[arg(long)]
        reason: String,
    },
}

/// Sends the action and prints the answer as JSON.
pub fn run(args: &AdminArgs) -> anyhow::Result<()> {
    let call = build_call(&args.action)?;
    let answer = actix_rt::System::new().block_on(args.operator.send(call))?;
    println!("{}", serde_json::to_string_pretty(&answer)?);
    Ok(())
}

fn build_call(action: &AdminAction) -> anyhow::Result<AdminCall> {
    Ok(match action {
        AdminAction::Get { path } => AdminCall::get(format!("/admin/v1/{path}")),
        AdminAction::Apply {
            file,
            reason,
            dry_run,
            version,
        } => {
            let text = std::fs::read_to_string(file)
                .with_context(|| format!("cannot read {}", file.display()))?;
            let body = json!({"file": file.display().to_string(), "toml": text, "reason": reason, "dry_run": dry_run});
            change(Method::POST, "/admin/v1/apply", *version, Some(body))
        }
        AdminAction::History { limit } => {
            AdminCall::get(format!("/admin/v1/history?limit={limit}"))
        }
        AdminAction::Rollback { version, reason } => {
            let body = json!({"version": version, "reason": reason});
            change(Method::POST, "/admin/v1/rollback", None, Some(body))
        }
        AdminAction::Keys { action } => key_call(action),
        AdminAction::Batches => AdminCall::get("/admin/v1/batches"),
        AdminAction::Drain => change(Method::POST, "/admin/v1/drain", None, None),
        AdminAction::Vms => AdminCall::get("/admin/v1/vms"),
    })
}

fn key_call(action: &KeyAction) -> AdminCall {
    match action {
        KeyAction::Issue {
            organisation,
            label,
            reason,
            expires_at,
        } => {
            let mut body = json!({"label": label, "reason": reason});
            if let Some(seconds) = expires_at {
                body["expires_at"] = json!(seconds);
            }
            let path = format!("/admin/v1/organisations/{organisation}/keys");
            change(Method::POST, &path, None, Some(body))
        }
        KeyAction::List { organisation } => {
            AdminCall::get(format!("/admin/v1/organisations/{organisation}/keys"))
        }
        KeyAction::Withdraw {
            organisation,
            key,
            reason,
        } => {
            let path = format!("/admin/v1/organisations/{organisation}/keys/{key}");
            let body = json!({"reason": reason});
            change(Method::DELETE, &path, None, Some(body))
        }
    }
}

/// A change; without a version it applies to whatever is current.
fn change(method: Method, path: &str, version: Option<u64>, body: Option<Value>) -> AdminCall {
    let if_match = version.map_or_else(|| "*".to_owned(), |version| format!("\"{version}\""));
    AdminCall {
        method,
        path: path.to_owned(),
        if_match: Some(if_match),
        body,
    }
}
