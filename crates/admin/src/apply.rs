//! `POST /admin/v1/apply`: a fleet file as one change, with its difference shown.

use crate::operator::{authenticate, expected_version};
use crate::receipt::{answer, propose};
use crate::resources::{parse_body, read_reason};
use crate::state::AdminState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_config::{ProposeChange, parse_fleet_file};
use plantainmill_core::{Problem, ResultCode};
use serde::Deserialize;
use serde_json::json;

/// Errors of a fleet file that are named in an answer; the rest is counted.
const ERRORS_NAMED: usize = 50;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyBody {
    /// Name of the file, for errors.
    #[serde(default)]
    file: String,
    toml: String,
    reason: Option<String>,
    #[serde(default)]
    dry_run: bool,
}

pub(crate) async fn apply(
    request: HttpRequest,
    payload: web::Bytes,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    let author = authenticate(&request, &state)?;
    let body: ApplyBody = parse_body(&payload)?;
    let config = state.view.load();
    let parsed = parse_fleet_file(&body.file, &body.toml, &config);
    let file = parsed.map_err(|problems| {
        let named: Vec<String> = problems
            .iter()
            .take(ERRORS_NAMED)
            .map(ToString::to_string)
            .collect();
        let reason = format!("{} errors:\n{}", problems.len(), named.join("\n"));
        Problem::new(ResultCode::ConfigInvalid, reason).with_field("toml")
    })?;
    let change = ProposeChange {
        edits: file.edits,
        author,
        reason: read_reason(body.reason)?,
        expected_version: expected_version(&request)?,
        dry_run: body.dry_run,
    };
    let receipt = propose(&state, change).await?;
    let extra = json!({"dry_run": body.dry_run, "diff": receipt.diff});
    Ok(answer(&receipt, extra))
}
