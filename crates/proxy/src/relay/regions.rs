//! Regions of a call, and the check of the receiver of each send.

use super::call::RelayCall;
use super::exchange::{CallSend, SendFailure};
use super::open::RelayCaller;
use plantainmill_core::{Executed, RegionInputs, RegionName, RegionSet, RegionSource};
use plantainmill_dispatch::CallOutcome;
use plantainmill_paths::Forwarder;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Regions in which one call may be served. Clones share the same state.
#[derive(Clone, Debug)]
pub struct CallRegions {
    state: Rc<RegionState>,
}

#[derive(Debug)]
struct RegionState {
    /// The intersection of all values of the source so far.
    allowed: RefCell<RegionSet>,
    source: Option<Rc<dyn RegionSource>>,
}

impl CallRegions {
    /// Regions that do not change.
    #[must_use]
    pub fn fixed(allowed: RegionSet) -> CallRegions {
        CallRegions::new(allowed, None)
    }

    /// The regions that `source` allows now and before each later send.
    #[must_use]
    pub fn of_source(source: Rc<dyn RegionSource>) -> CallRegions {
        CallRegions::new(source.allowed(), Some(source))
    }

    fn new(allowed: RegionSet, source: Option<Rc<dyn RegionSource>>) -> CallRegions {
        let allowed = RefCell::new(allowed);
        CallRegions {
            state: Rc::new(RegionState { allowed, source }),
        }
    }

    /// Excludes what `allowed` does not allow.
    #[must_use]
    pub fn narrowed_to(self, allowed: &RegionSet) -> CallRegions {
        let narrowed = self.state.allowed.borrow().intersect(allowed);
        *self.state.allowed.borrow_mut() = narrowed;
        self
    }

    /// The regions that have been allowed all the time and are allowed now.
    #[must_use]
    pub fn current(&self) -> RegionSet {
        let mut allowed = self.state.allowed.borrow_mut();
        if let Some(source) = &self.state.source {
            *allowed = allowed.intersect(&source.allowed());
        }
        allowed.clone()
    }

    /// What the regions are computed from.
    #[must_use]
    pub fn inputs(&self) -> RegionInputs {
        let source = self.state.source.as_ref();
        source.map_or_else(RegionInputs::default, |source| source.inputs())
    }
}

/// Who gets a send.
#[derive(Clone, Copy)]
pub(super) enum SendReceiver<'a> {
    /// The target of the ticket.
    Target,
    /// A VM that forwards the request to the target of the ticket.
    Forwarder(&'a Forwarder),
}

impl RelayCaller {
    /// Address of the receiver of a send, if the receiver and the target are in allowed regions.
    pub(super) fn permitted_address(
        &self,
        send: CallSend<'_>,
        receiver: SendReceiver<'_>,
    ) -> Result<SocketAddr, SendFailure> {
        let CallSend { call, ticket, .. } = send;
        let allowed = call.regions.current();
        let target_region = ticket.region.as_ref();
        let (address, region) = match receiver {
            SendReceiver::Target => (ticket.address, target_region),
            SendReceiver::Forwarder(vm) => (vm.address, vm.region.as_ref()),
        };
        if allowed.allows(target_region) && allowed.allows(region) {
            return Ok(address);
        }
        let refused = RefusedSend {
            receiver: address,
            region: region.or(target_region),
        };
        self.record_region_refusal(call, &allowed, Some(refused));
        let reason = format!("the regions changed to {allowed} before the request was sent");
        Err(SendFailure::new(
            Executed::No,
            CallOutcome::Abandoned,
            reason,
        ))
    }

    /// Counts and logs that a call has no target, or must not be sent to the one that it got.
    pub(super) fn record_region_refusal(
        &self,
        call: &RelayCall,
        allowed: &RegionSet,
        refused: Option<RefusedSend<'_>>,
    ) {
        let by = if refused.is_some() {
            "send"
        } else {
            "dispatch"
        };
        self.shared.meters.count_region_refusal(by);
        let inputs = call.regions.inputs();
        tracing::info!(
            event = "region_refused",
            by,
            request = %call.id,
            service = %call.service,
            %allowed,
            receiver = refused.map(|refused| tracing::field::display(refused.receiver)),
            region = refused.and_then(|refused| refused.region).map(RegionName::as_str),
            document_version = inputs.version,
            document_age_ms = inputs.age.map(|age| age.as_millis()),
        );
    }
}

/// A receiver whose region is not allowed.
#[derive(Clone, Copy)]
pub(super) struct RefusedSend<'a> {
    pub receiver: SocketAddr,
    pub region: Option<&'a RegionName>,
}
