//! Log lines of requests that end with a problem.

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{Error, HttpMessage as _};
use plantainmill_batch::Caller;
use plantainmill_core::Problem;

/// Logs each request of a caller that ends with a problem: whose it is, and whether it ran.
///
/// # Errors
///
/// Passes on the error of `next`.
pub async fn log_problems(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let path = request.path().to_owned();
    let peer = request.peer_addr();
    let result = next.call(request).await;
    let (error, organisation) = match &result {
        Ok(response) => {
            let extensions = response.request().extensions();
            let caller = extensions.get::<Caller>();
            let organisation = caller.map(|caller| caller.organisation.clone());
            (response.response().error(), organisation)
        }
        Err(error) => (Some(error), None),
    };
    if let Some(problem) = error.and_then(|error| error.as_error::<Problem>()) {
        tracing::info!(
            event = "request_ended",
            path,
            organisation = organisation.as_deref(),
            peer = peer.map(tracing::field::display),
            result = problem.code.number(),
            code = problem.code.name(),
            executed = problem.executed.as_str(),
            retry_ms = problem.retry_delay().map(|delay| delay.as_millis()),
            reason = %problem.reason,
        );
    }
    result
}
