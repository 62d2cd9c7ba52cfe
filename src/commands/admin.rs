//! `plantainmill admin`: command-line client of the administration API.

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
    /// Show the difference between a fleet file and the configuration in force, and apply it.
    Apply {
        /// Fleet configuration in TOML.
        file: PathBuf,
        /// Reason for the change, kept in the history.
        #[arg(long)]
        reason: String,
        /// Show the difference without applying it.
        #[arg(long)]
        dry_run: bool,
        /// Apply only if this is the current fleet version.
        #[arg(long)]
        version: Option<u64>,
    },
    /// Print the history of changes: author, change, time and reason.
    History {
        /// Maximum number of entries, newest first.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Restore the configuration of an earlier version, as a new version.
    Rollback {
        /// Version to restore.
        version: u64,
        /// Reason for the change, kept in the history.
        #[arg(long)]
        reason: String,
    },
    /// Issue, list and withdraw the API keys of an organisation.
    Keys {
        #[command(subcommand)]
        action: KeyAction,
    },
    /// List the batch jobs of all organisations.
    Batches,
    /// Stop the VM gracefully: it reports not ready, finishes its requests and exits.
    Drain,
    /// List the VMs as this VM sees them.
    Vms,
}

#[derive(Debug, Subcommand)]
enum KeyAction {
    /// Issue a key; its secret is shown once.
    Issue {
        /// Organisation that the key belongs to.
        organisation: String,
        /// Label that says what the key is for.
        #[arg(long)]
        label: String,
        /// Reason for the change, kept in the history.
        #[arg(long)]
        reason: String,
        /// Expiry as a Unix time in seconds; the key is refused after it.
        #[arg(long)]
        expires_at: Option<u64>,
    },
    /// List the keys of an organisation.
    List {
        /// Organisation whose keys are listed.
        organisation: String,
    },
    /// Withdraw a key on all VMs.
    Withdraw {
        /// Organisation that the key belongs to.
        organisation: String,
        /// Key id.
        key: String,
        /// Reason for the change, kept in the history.
        #[arg(long)]
        reason: String,
    },
}

/// Sends the request for the action and prints the response as JSON.
pub fn run(args: &AdminArgs) -> anyhow::Result<()> {
    let call = build_call(&args.action)?;
    let response = actix_rt::System::new().block_on(args.operator.send(call))?;
    println!("{}", serde_json::to_string_pretty(&response)?);
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
            change_call(Method::POST, "/admin/v1/apply", *version, Some(body))
        }
        AdminAction::History { limit } => {
            AdminCall::get(format!("/admin/v1/history?limit={limit}"))
        }
        AdminAction::Rollback { version, reason } => {
            let body = json!({"version": version, "reason": reason});
            change_call(Method::POST, "/admin/v1/rollback", None, Some(body))
        }
        AdminAction::Keys { action } => key_call(action),
        AdminAction::Batches => AdminCall::get("/admin/v1/batches"),
        AdminAction::Drain => change_call(Method::POST, "/admin/v1/drain", None, None),
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
            change_call(Method::POST, &path, None, Some(body))
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
            change_call(Method::DELETE, &path, None, Some(body))
        }
    }
}

/// A request that changes the fleet. Without a version it applies to whichever version is current.
fn change_call(method: Method, path: &str, version: Option<u64>, body: Option<Value>) -> AdminCall {
    let if_match = version.map_or_else(|| "*".to_owned(), |version| format!("\"{version}\""));
    AdminCall {
        method,
        path: path.to_owned(),
        if_match: Some(if_match),
        body,
    }
}
