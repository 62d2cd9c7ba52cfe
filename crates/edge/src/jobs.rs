//! Calls of callers about batch jobs.

use crate::answer::mark_leaving;
use crate::ingress::ReadRequest;
use crate::state::EdgeState;
use actix_web::{HttpResponse, HttpResponseBuilder};
use plantainmill_core::{OrganisationId, Problem, ResultCode};
use plantainmill_jobs::{JobCall, ListedResult, ResultPage};
use plantainmill_routing::RouteRule;
use std::time::Duration;

/// Longest time that a read waits for a result.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// Bytes of a page beside its results.
const PAGE_FRAME_BYTES: usize = 256;

/// Accepts a job.
pub(crate) async fn submit(
    state: &EdgeState,
    organisation: &OrganisationId,
    route: &RouteRule,
    read: &ReadRequest,
) -> Result<HttpResponse, Problem> {
    let missing = || Problem::new(ResultCode::BadHeader, "the request has no id");
    let job = read.head.id.clone().ok_or_else(missing)?;
    let submission = state.codec.jobs().read_submission(&read.body);
    let submission = submission.map_err(|reason| Problem::new(ResultCode::JobInvalid, reason))?;
    let accepted = state
        .jobs
        .submit(organisation, route, &job, &submission)
        .await;
    state
        .meters
        .count_job_call("submit", result_number(&accepted));
    accepted?;
    Ok(own_response(state, HttpResponse::Accepted()).json(serde_json::json!({})))
}

/// Answers a call about a job that exists.
pub(crate) async fn answer_call(
    state: &EdgeState,
    organisation: &OrganisationId,
    call: JobCall,
) -> Result<HttpResponse, Problem> {
    match call {
        JobCall::Results { job, after, wait } => {
            let wait = wait.min(LONGEST_WAIT);
            let page = state.jobs.results(organisation, &job, after, wait).await;
            state.meters.count_job_call("results", result_number(&page));
            let page = cut_page(state, page?, after);
            let body = state.codec.jobs().write_page(&page);
            let mut builder = own_response(state, HttpResponse::Ok());
            Ok(builder.content_type("application/json").body(body))
        }
        JobCall::Body { job, item } => {
            let body = state.jobs.item_body(organisation, &job, &item).await;
            state.meters.count_job_call("body", result_number(&body));
            let mut builder = own_response(state, HttpResponse::Ok());
            Ok(builder.content_type("application/octet-stream").body(body?))
        }
        JobCall::End { job } => {
            let ended = state.jobs.end(organisation, &job).await;
            state.meters.count_job_call("end", result_number(&ended));
            ended?;
            Ok(own_response(state, HttpResponse::Ok()).json(serde_json::json!({})))
        }
    }
}

fn own_response(state: &EdgeState, mut builder: HttpResponseBuilder) -> HttpResponseBuilder {
    mark_leaving(state, &mut builder);
    builder
}

/// Leaves out results that do not fit a page, but not the first one.
fn cut_page(state: &EdgeState, mut page: ResultPage, after: u64) -> ResultPage {
    let codec = state.codec.jobs();
    let mut room = codec.page_limit().saturating_sub(PAGE_FRAME_BYTES);
    let fitting = |result: &&ListedResult| {
        let size = codec.result_size(result);
        let fits = size <= room;
        room = room.saturating_sub(size);
        fits
    };
    let count = page.results.iter().take_while(fitting).count();
    page.results.truncate(count.max(1));
    page.next = after + page.results.len() as u64;
    page
}

fn result_number<T>(result: &Result<T, Problem>) -> u16 {
    result
        .as_ref()
        .err()
        .map_or(0, |problem| problem.code.number())
}
