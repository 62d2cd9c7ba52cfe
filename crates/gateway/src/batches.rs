//! Authentication middleware for the file and batch routes, which the batch crate defines.

use crate::identity::identify;
use crate::state::GatewayState;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{Error, HttpMessage as _, web};
use plantainmill_batch::Caller;
use plantainmill_core::{Problem, ResultCode};

/// Checks the key, counts the request as in flight, and hands the organisation to the batch routes as a request
/// extension.
///
/// These calls manage jobs and send nothing to a target, so they do not count against the organisation's rate.
///
/// # Errors
///
/// Refuses a call without a valid key, and every call once the VM refuses new requests.
pub async fn authenticate(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let state = request.app_data::<web::Data<GatewayState>>();
    let state = state
        .ok_or_else(|| Problem::new(ResultCode::Internal, "the gateway has no state"))?
        .clone();
    let _in_flight = state.parts.drain.enter()?;
    let key_owner = identify(request.request(), &state.parts)?;
    request.extensions_mut().insert(Caller {
        organisation: key_owner.organisation,
    });
    next.call(request).await
}
