//! Chooses the path of a send, and finds out which paths are open.

use super::exchange::{CallSend, SendFailure, TargetResponse};
use super::open::RelayCaller;
use crate::limits::PATH_CONNECT_TIMEOUT;
use crate::transport::TargetDialer;
use plantainmill_core::{Problem, RegionSet, ResultCode, TargetId};
use plantainmill_paths::{ForwardResult, SendRoute, TargetPaths};
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Retry-After of a request that this VM cannot send. Another VM probably can.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Largest number of paths that are probed at a time.
const MAX_PROBES: usize = 8;

/// The paths of this VM, and the probes in progress.
pub(super) struct PathProbes {
    pub paths: TargetPaths,
    dialer: Rc<dyn TargetDialer>,
    pending: RefCell<HashSet<TargetId>>,
}

impl PathProbes {
    pub fn new(paths: TargetPaths, dialer: Rc<dyn TargetDialer>) -> PathProbes {
        PathProbes {
            paths,
            dialer,
            pending: RefCell::default(),
        }
    }

    /// Connects to a target to find out whether its path is open.
    fn probe(self: &Rc<Self>, target: TargetId, address: SocketAddr) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= MAX_PROBES || !pending.insert(target.clone()) {
            return;
        }
        let probes = Rc::clone(self);
        actix_rt::spawn(async move {
            let connected = timeout(PATH_CONNECT_TIMEOUT, probes.dialer.dial(address)).await;
            let is_connected = matches!(connected, Ok(Ok(_)));
            probes.paths.record_connect(&target, is_connected);
            probes.pending.borrow_mut().remove(&target);
        });
    }

    fn probe_due(self: &Rc<Self>, target: &TargetId) {
        if let Some((target, address)) = self.paths.next_probe(target) {
            self.probe(target, address);
        }
    }
}

impl RelayCaller {
    /// Sends a call to the target of its ticket, on the path that is open.
    ///
    /// # Errors
    ///
    /// The failure states whether that target may have executed the request.
    pub async fn send(&self, send: CallSend<'_>) -> Result<TargetResponse, SendFailure> {
        let Some(probes) = &self.shared.paths else {
            return self.send_direct(send).await;
        };
        let (paths, target, trace) = (&probes.paths, &send.ticket.target, send.trace);
        probes.probe_due(target);
        let regions = send.call.regions.current();
        match paths.route(target, &regions) {
            SendRoute::Direct => {}
            SendRoute::Forwarded => {
                let result = self.send_forwarded(paths, send, None).await;
                let is_sent = !matches!(&result, Err(failure) if failure.is_unsent());
                if is_sent || paths.is_isolated() {
                    return result;
                }
            }
            SendRoute::Unreachable => {
                let reason = "no path to the target, and no VM that forwards the request";
                return Err(SendFailure::unreachable(reason));
            }
        }
        let has_asked = trace.forwarder().is_some();
        let result = self.send_direct(send).await;
        if trace.has_connected() {
            paths.record_connect(target, true);
        }
        match result {
            Err(failure) if failure.is_unsent() => {
                paths.record_connect(target, false);
                if !has_asked && paths.route(target, &regions) == SendRoute::Forwarded {
                    return self.send_forwarded(paths, send, Some(failure)).await;
                }
                Err(failure)
            }
            result => result,
        }
    }

    /// Counts an invalid response, and finds out whether the path is the reason why a send failed that may have reached its
    /// target.
    pub fn record_failed_send(&self, target: &TargetId, failure: &SendFailure) {
        if failure.is_invalid() {
            self.shared.meters.count_invalid();
        }
        self.check_path(target, failure);
    }

    fn check_path(&self, target: &TargetId, failure: &SendFailure) {
        let probes = self.shared.paths.as_ref();
        let Some(probes) = probes.filter(|_| failure.suggests_lost_path()) else {
            return;
        };
        if let Some(forwarder) = failure.forwarder {
            let paths = &probes.paths;
            paths.record_forward(forwarder, ForwardResult::Silent);
        } else if let Some(address) = probes.paths.address_of(target) {
            probes.probe(target.clone(), address);
        }
    }

    /// Fails if this VM reaches no target, directly or through another VM in one of `regions`.
    pub(super) fn check_reachable(&self, regions: &RegionSet) -> Result<(), Problem> {
        let Some(probes) = &self.shared.paths else {
            return Ok(());
        };
        if !probes.paths.is_unreachable(regions) {
            return Ok(());
        }
        probes.probe_due(&TargetId::default());
        let reason = "this VM has lost its paths to all targets";
        let problem = Problem::new(ResultCode::TargetsUnreachable, reason);
        Err(problem.with_retry_after(UNREACHABLE_RETRY_AFTER))
    }
}
