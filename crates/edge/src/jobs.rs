//! Requests of callers that submit, read or end batch jobs.

use crate::ingress::BufferedRequest;
use crate::response::close_if_stopping;
use crate::state::EdgeState;
use actix_web::{HttpResponse, HttpResponseBuilder};
use plantainmill_core::{OrganisationId, Problem, ResultCode};
use plantainmill_jobs::{JobCall, ListedResult, ResultPage};
use plantainmill_routing::RouteRule;
use std::time::Duration;

/// Longest time that a read waits for further results, whatever the caller requests.
const MAX_RESULT_WAIT: Duration = Duration::from_secs(10);
/// Bytes of a page in addition to its results.
const PAGE_OVERHEAD_BYTES: usize = 256;

/// Submits a job. Its id is the id of the request.
pub(crate) async fn submit(
    state: &EdgeState,
    organisation: &OrganisationId,
    route: &RouteRule,
    request: &BufferedRequest,
) -> Result<HttpResponse, Problem> {
    let missing = || Problem::new(ResultCode::BadHeader, "the request has no id");
    let job = request.head.id.clone().ok_or_else(missing)?;
    let submission = state.codec.jobs().read_submission(&request.body);
    let submission = submission.map_err(|reason| Problem::new(ResultCode::JobInvalid, reason))?;
    let accepted = state
        .jobs
        .submit(organisation, route, &job, &submission)
        .await;
    state
        .metrics
        .count_job_call("submit", result_code_number(&accepted));
    accepted?;
    Ok(response_builder(state, HttpResponse::Accepted()).json(serde_json::json!({})))
}

/// Handles a call that refers to an existing job.
pub(crate) async fn handle_call(
    state: &EdgeState,
    organisation: &OrganisationId,
    call: JobCall,
) -> Result<HttpResponse, Problem> {
    match call {
        JobCall::Results { job, after, wait } => {
            let wait = wait.min(MAX_RESULT_WAIT);
            let page = state.jobs.results(organisation, &job, after, wait).await;
            state
                .metrics
                .count_job_call("results", result_code_number(&page));
            let page = truncate_page(state, page?, after);
            let body = state.codec.jobs().write_page(&page);
            let mut builder = response_builder(state, HttpResponse::Ok());
            Ok(builder.content_type("application/json").body(body))
        }
        JobCall::Body { job, item } => {
            let body = state.jobs.item_body(organisation, &job, &item).await;
            state
                .metrics
                .count_job_call("body", result_code_number(&body));
            let mut builder = response_builder(state, HttpResponse::Ok());
            Ok(builder.content_type("application/octet-stream").body(body?))
        }
        JobCall::End { job } => {
            let ended = state.jobs.end(organisation, &job).await;
            state
                .metrics
                .count_job_call("end", result_code_number(&ended));
            ended?;
            Ok(response_builder(state, HttpResponse::Ok()).json(serde_json::json!({})))
        }
    }
}

fn response_builder(state: &EdgeState, mut builder: HttpResponseBuilder) -> HttpResponseBuilder {
    close_if_stopping(state, &mut builder);
    builder
}

/// Truncates a page to the codec's size limit. At least one result stays, so that the reader makes progress.
fn truncate_page(state: &EdgeState, mut page: ResultPage, after: u64) -> ResultPage {
    let codec = state.codec.jobs();
    let mut remaining_bytes = codec.page_limit().saturating_sub(PAGE_OVERHEAD_BYTES);
    let fits_page = |result: &&ListedResult| {
        let size = codec.result_size(result);
        let fits = size <= remaining_bytes;
        remaining_bytes = remaining_bytes.saturating_sub(size);
        fits
    };
    let count = page.results.iter().take_while(fits_page).count();
    page.results.truncate(count.max(1));
    page.next = after + page.results.len() as u64;
    page
}

fn result_code_number<T>(result: &Result<T, Problem>) -> u16 {
    result
        .as_ref()
        .err()
        .map_or(0, |problem| problem.code.number())
}
