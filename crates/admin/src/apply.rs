//! `POST /admin/v1/apply`: a fleet file, with its difference shown. What is already in force is left out.

use crate::operator::{authenticate, expected_version};
use crate::receipt::{answer, propose, tagged};
use crate::resources::{parse_body, read_reason};
use crate::state::AdminState;
use actix_web::{HttpRequest, HttpResponse, web};
use compact_str::CompactString;
use plantainmill_config::validate::EDIT_LIMIT;
use plantainmill_config::{
    ChangeReceipt, ConfigEdit, ProposeChange, describe_edits, parse_fleet_file,
};
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
    let mut edits = file.edits;
    edits.retain(|edit| !edit.is_noop(&config));
    let reason = read_reason(body.reason)?;
    let expected_version = expected_version(&request)?;
    if body.dry_run {
        // The parser has checked fields and references of the whole file.
        let diff = describe_edits(&config, &edits);
        let shown = json!({"version": config.version, "dry_run": true, "diff": diff});
        return Ok(tagged(config.version, &shown));
    }
    let apply = FileApply { author, reason };
    let receipt = apply
        .run(&state, &edits, config.version, expected_version)
        .await?;
    let extra = json!({"dry_run": false, "diff": receipt.diff});
    Ok(answer(&receipt, extra))
}

/// A fleet file on its way into the log.
struct FileApply {
    author: CompactString,
    reason: String,
}

impl FileApply {
    /// Proposes the edits as consecutive changes of at most [`EDIT_LIMIT`] edits. Each takes effect whole. After
    /// the first, each expects the version of the one before it, so a change by somebody else ends the series.
    async fn run(
        &self,
        state: &AdminState,
        edits: &[ConfigEdit],
        version: u64,
        mut expected_version: Option<u64>,
    ) -> Result<ChangeReceipt, Problem> {
        let mut whole = ChangeReceipt {
            version,
            confirmed: Vec::new(),
            unconfirmed: Vec::new(),
            diff: Vec::new(),
        };
        for part in edits.chunks(EDIT_LIMIT) {
            let change = ProposeChange {
                edits: part.to_vec(),
                author: self.author.clone(),
                reason: self.reason.clone(),
                expected_version,
                dry_run: false,
            };
            let receipt = propose(state, change).await?;
            expected_version = Some(receipt.version);
            whole.version = receipt.version;
            whole.confirmed = receipt.confirmed;
            whole.unconfirmed = receipt.unconfirmed;
            whole.diff.extend(receipt.diff);
        }
        Ok(whole)
    }
}
