//! `POST /admin/v1/apply`: applies a fleet file and returns the difference. Edits without an effect are skipped.

use crate::operator::{authenticate, expected_version};
use crate::receipt::{propose, receipt_response, versioned_response};
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

/// Maximum number of errors of a fleet file that a response lists. The response also gives their total.
const MAX_LISTED_ERRORS: usize = 50;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyBody {
    /// Name of the file, used in error messages only.
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
        let listed: Vec<String> = problems
            .iter()
            .take(MAX_LISTED_ERRORS)
            .map(ToString::to_string)
            .collect();
        let reason = format!("{} errors:\n{}", problems.len(), listed.join("\n"));
        Problem::new(ResultCode::ConfigInvalid, reason).with_field("toml")
    })?;
    let mut edits = file.edits;
    edits.retain(|edit| !edit.is_noop(&config));
    let reason = read_reason(body.reason)?;
    let expected_version = expected_version(&request)?;
    if body.dry_run {
        // The parser has already validated the fields and references of the whole file.
        let diff = describe_edits(&config, &edits);
        let preview = json!({"version": config.version, "dry_run": true, "diff": diff});
        return Ok(versioned_response(config.version, &preview));
    }
    let apply = FileApply { author, reason };
    let receipt = apply
        .run(&state, &edits, config.version, expected_version)
        .await?;
    let extra = json!({"dry_run": false, "diff": receipt.diff});
    Ok(receipt_response(&receipt, extra))
}

/// Author and reason of the changes that a fleet file is split into.
struct FileApply {
    author: CompactString,
    reason: String,
}

impl FileApply {
    /// Proposes the edits as consecutive changes of at most [`EDIT_LIMIT`] edits, each of which is atomic. Every change
    /// after the first expects the version of the one before it, so a concurrent change by someone else ends the series
    /// with an error; the changes before it stay in force.
    async fn run(
        &self,
        state: &AdminState,
        edits: &[ConfigEdit],
        version: u64,
        mut expected_version: Option<u64>,
    ) -> Result<ChangeReceipt, Problem> {
        let mut combined = ChangeReceipt {
            version,
            confirmed: Vec::new(),
            unconfirmed: Vec::new(),
            diff: Vec::new(),
        };
        for chunk in edits.chunks(EDIT_LIMIT) {
            let change = ProposeChange {
                edits: chunk.to_vec(),
                author: self.author.clone(),
                reason: self.reason.clone(),
                expected_version,
                dry_run: false,
            };
            let receipt = propose(state, change).await?;
            expected_version = Some(receipt.version);
            combined.version = receipt.version;
            combined.confirmed = receipt.confirmed;
            combined.unconfirmed = receipt.unconfirmed;
            combined.diff.extend(receipt.diff);
        }
        Ok(combined)
    }
}
