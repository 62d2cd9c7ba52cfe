//! Authentication before the file and batch routes, which the batch crate owns.

use crate::identity::identify;
use crate::state::GatewayState;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{Error, HttpMessage as _, web};
use plantainmill_batch::Caller;
use plantainmill_core::{Problem, ResultCode};

/// Checks the key, counts the request as in flight, and passes the organisation on to the batch routes.
///
/// These calls manage jobs and run nothing on a target, so they are not taken from the organisation's rate.
///
/// # Errors
///
/// Refuses a call without a valid key, or on a VM that is stopping.
pub async fn authenticate(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let state = request.app_data::<web::Data<GatewayState>>();
    let state = state
        .ok_or_else(|| Problem::new(ResultCode::Internal, "the gateway has no state"))?
        .clone();
    let _flight = state.parts.drain.enter()?;
    let owner = identify(request.request(), &state.parts)?;
    request.extensions_mut().insert(Caller {
        organisation: owner.organisation,
    });
    next.call(request).await
}
