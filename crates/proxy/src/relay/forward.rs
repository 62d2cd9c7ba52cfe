//! Requests that go through another VM because this one has lost its path to the target, and those that this VM forwards.
//!
//! The request goes to the other VM as it would to the target, with one more header that names the target. The response has
//! a header that says whether it is the target's.

use super::exchange::{
    CallSend, MISDIRECTED_REQUEST, ResponsePayload, SendFailure, TargetResponse, read_payload,
    send_failure, send_request,
};
use super::open::RelayCaller;
use super::regions::SendReceiver;
use crate::send_trace::SendTrace;
use awc::error::PayloadError;
use awc::http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use awc::http::{Method, Uri};
use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use plantainmill_core::{Executed, RegionName, TargetId};
use plantainmill_dispatch::CallOutcome;
use plantainmill_paths::{ForwardResult, Forwarder, ForwarderReferral, TargetPaths};
use std::iter::repeat;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// On a request, the target that it is for; on a response, where it comes from: a [`ForwardVerdict`].
pub const FORWARD_HEADER: &str = "plantainmill-forward";
/// Tells a VM of the previous release to use a separate connection for the request. This release sends no id twice on a
/// connection, with or without the header.
pub const REPEAT_HEADER: &str = "plantainmill-forward-repeat";
/// Addresses of VMs in other failure domains, on the response of a VM that does not forward the request.
const REFERRAL_HEADER: &str = "plantainmill-forward-peers";
/// Regions of the VMs in [`REFERRAL_HEADER`], in the same order. VMs of older releases leave it out.
const REFERRAL_REGIONS_HEADER: &str = "plantainmill-forward-regions";
/// Largest body in bytes of a request that a VM forwards.
pub const MAX_FORWARD_BYTES: usize = 4 << 20;
/// Largest number of VMs that are asked to forward one request.
const MAX_FORWARDERS: usize = 5;
/// Time that a target may take for the head of its response, or between two parts of it. It only ends what the VM that asked
/// has lost sight of.
const FORWARD_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Where the response to a forwarded request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardVerdict {
    /// From the target, which marks the end of the body.
    Framed,
    /// From the target, whose body ends with the connection.
    Unframed,
    /// From the VM, which has lost its paths to the targets. Nothing was sent.
    Isolated,
    /// From the VM, which does not reach or know the target, or stops. Nothing was sent.
    Declined,
    /// From the VM, which knows that the target leaves. Nothing was sent.
    Leaving,
    /// From the VM, since the connection to the target ended without a response.
    Lost,
    /// From the VM, since the target's response was malformed or late.
    Failed,
}

impl ForwardVerdict {
    const ALL: [ForwardVerdict; 7] = [
        ForwardVerdict::Framed,
        ForwardVerdict::Unframed,
        ForwardVerdict::Isolated,
        ForwardVerdict::Declined,
        ForwardVerdict::Leaving,
        ForwardVerdict::Lost,
        ForwardVerdict::Failed,
    ];

    /// Value of the header.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            ForwardVerdict::Framed => "framed",
            ForwardVerdict::Unframed => "unframed",
            ForwardVerdict::Isolated => "isolated",
            ForwardVerdict::Declined => "declined",
            ForwardVerdict::Leaving => "leaving",
            ForwardVerdict::Lost => "lost",
            ForwardVerdict::Failed => "failed",
        }
    }

    fn of(headers: &HeaderMap) -> Option<ForwardVerdict> {
        let value = headers.get(FORWARD_HEADER)?.to_str().ok()?;
        ForwardVerdict::ALL
            .into_iter()
            .find(|verdict| verdict.name() == value)
    }
}

/// A request of another VM that this one forwards.
pub struct ForwardRequest {
    /// Target that it is for.
    pub target: TargetId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What a VM returns to the one that asked it to forward a request.
pub struct ForwardAnswer {
    /// HTTP status of the target.
    pub status: u16,
    /// Headers of the target.
    pub headers: HeaderMap,
    /// Whether the target marks the end of the body.
    pub verdict: ForwardVerdict,
    /// Body. An error means that it is incomplete.
    pub body: ResponsePayload,
}

impl ForwardAnswer {
    /// Whether the target itself answered, and not another instance at its address.
    #[must_use]
    pub fn speaks_for_target(&self) -> bool {
        self.status != MISDIRECTED_REQUEST
    }
}

impl RelayCaller {
    /// Sends a request through other VMs, one after the other until one has sent it. Fails like the direct send before if none
    /// reaches the target.
    pub(super) async fn send_forwarded(
        &self,
        paths: &TargetPaths,
        send: CallSend<'_>,
        direct: Option<SendFailure>,
    ) -> Result<TargetResponse, SendFailure> {
        if send.call.body.len() > MAX_FORWARD_BYTES {
            let reason = "no path to the target, and the body is too large for other VMs";
            return Err(direct.unwrap_or_else(|| SendFailure::unreachable(reason)));
        }
        let regions = send.call.regions.current();
        let mut asked: Vec<SocketAddr> = Vec::new();
        let mut has_only_isolated = true;
        while asked.len() < MAX_FORWARDERS {
            let mut candidates = paths.forwarders(&regions).into_iter();
            let Some(vm) = candidates.find(|vm| !asked.contains(&vm.address)) else {
                break;
            };
            let forwarder = vm.address;
            asked.push(forwarder);
            let result = match self.send_through(paths, &vm, send).await {
                Ok(Ok(response)) => {
                    paths.record_forward(forwarder, ForwardResult::Forwarded);
                    return Ok(response);
                }
                Ok(Err(result)) => result,
                Err(failure) if failure.is_unsent() => ForwardResult::Failed,
                Err(failure) => return Err(failure),
            };
            has_only_isolated &= result != ForwardResult::Declined;
            paths.record_forward(forwarder, result);
        }
        // The VMs of other regions may have paths, for other requests.
        if has_only_isolated && regions.is_everywhere() {
            paths.record_exhausted();
        }
        Err(direct.unwrap_or_else(|| {
            let reason = format!("none of {} VMs reaches the target", asked.len());
            SendFailure::unreachable(reason)
        }))
    }

    /// Sends a request through `forwarder`. Returns why it was not sent, or the failure of a send that was made.
    async fn send_through(
        &self,
        paths: &TargetPaths,
        vm: &Forwarder,
        send: CallSend<'_>,
    ) -> Result<Result<TargetResponse, ForwardResult>, SendFailure> {
        let forwarder = vm.address;
        send.trace.start(send.call.id.as_bytes(), Some(forwarder));
        let client = &self.shared.peer_client;
        let request = self.build_request(client, send, SendReceiver::Forwarder(vm))?;
        let request = request
            .insert_header((FORWARD_HEADER, send.ticket.target.as_str()))
            .insert_header((REPEAT_HEADER, "1"));
        let sent_at = Instant::now();
        let response = send_request(request, send).await?;
        let headers = response.headers();
        let fail = |outcome, reason: &str| {
            let failure = SendFailure::new(Executed::Unknown, outcome, reason);
            Err(failure.at(send.trace))
        };
        let is_framed = match ForwardVerdict::of(headers) {
            Some(ForwardVerdict::Framed) => true,
            Some(ForwardVerdict::Unframed) => false,
            Some(ForwardVerdict::Isolated) => {
                paths.add_referrals(&read_referrals(headers));
                return Ok(Err(ForwardResult::Isolated));
            }
            Some(ForwardVerdict::Declined) => return Ok(Err(ForwardResult::Declined)),
            Some(ForwardVerdict::Leaving) => {
                send.ticket.record_leaving();
                let reason = "the target leaves, by the other VM";
                return Err(SendFailure::new(
                    Executed::No,
                    CallOutcome::Rejected,
                    reason,
                ));
            }
            Some(ForwardVerdict::Lost) => {
                return fail(CallOutcome::ConnectionLost, "no answer at the other VM");
            }
            Some(ForwardVerdict::Failed) => {
                return fail(CallOutcome::Failed, "no valid answer at the other VM");
            }
            // Only a verdict states that nothing was sent.
            None => {
                send.trace.retire_connection();
                paths.record_forward(forwarder, ForwardResult::Silent);
                return fail(CallOutcome::Failed, "the other VM does not state a verdict");
            }
        };
        let mut response = self.check_response(send, response, is_framed, sent_at)?;
        response.headers.remove(FORWARD_HEADER);
        Ok(Ok(response))
    }

    /// Sends a request of another VM to its target, on a connection of this one.
    ///
    /// # Errors
    ///
    /// Returns whether and how the send failed.
    pub async fn forward(&self, request: ForwardRequest) -> Result<ForwardAnswer, ForwardVerdict> {
        let probes = self.shared.paths.as_ref();
        let paths = probes.map(|probes| &probes.paths);
        let paths = paths.ok_or(ForwardVerdict::Declined)?;
        if paths.is_isolated() {
            return Err(ForwardVerdict::Isolated);
        }
        let target = &request.target;
        let address = paths.address_of(target).ok_or(ForwardVerdict::Declined)?;
        let uri = Uri::try_from(format!("http://{address}{}", request.path))
            .map_err(|_| ForwardVerdict::Declined)?;
        let mut forwarded = self.shared.client.request(request.method, uri);
        let trace = SendTrace::default();
        let id = request.headers.get(&self.header_names().request_id);
        let id = id.map(HeaderValue::as_bytes).unwrap_or_default().to_vec();
        trace.start(&id, None);
        *forwarded.headers_mut() = request.headers;
        let forwarded = forwarded.address(address).no_decompress();
        let exchange = trace.observe(forwarded.send_body(request.body));
        let sent = timeout(FORWARD_IDLE_TIMEOUT, exchange).await;
        if trace.has_connected() {
            paths.record_connect(target, true);
        }
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                let failure = send_failure(&error).at(&trace);
                if !failure.was_connected {
                    paths.record_connect(target, false);
                    return Err(ForwardVerdict::Declined);
                }
                return Err(match failure.outcome {
                    CallOutcome::ConnectionLost => ForwardVerdict::Lost,
                    _ => ForwardVerdict::Failed,
                });
            }
            Err(_) => return Err(ForwardVerdict::Failed),
        };
        let headers = response.headers();
        let names = self.header_names();
        let echo = headers.get(&names.request_id);
        if echo.is_none_or(|echo| echo.as_bytes() != id) {
            trace.retire_connection();
        }
        if headers.contains_key(&names.not_executed)
            || response.status().as_u16() == MISDIRECTED_REQUEST
        {
            trace.retire_connection();
            tracing::info!(
                event = "forward_refused",
                request = %String::from_utf8_lossy(&id),
                %target,
                connection = trace.connection().map(|used| used.connection),
                id_sends = trace.connection().map(|used| used.id_sends),
                status = response.status().as_u16(),
            );
        }
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        Ok(ForwardAnswer {
            status: response.status().as_u16(),
            headers: headers.clone(),
            verdict: if is_framed {
                ForwardVerdict::Framed
            } else {
                ForwardVerdict::Unframed
            },
            body: limit_pauses(read_payload(response)),
        })
    }

    /// VMs of other failure domains to which this one refers a VM whose request it does not forward, as headers.
    #[must_use]
    pub fn forward_referrals(&self) -> Option<[(&'static str, String); 2]> {
        let probes = self.shared.paths.as_ref()?;
        let referrals = probes.paths.referrals();
        let addresses = referrals
            .iter()
            .map(|referral| referral.address.to_string());
        let addresses: Vec<String> = addresses.collect();
        let regions = referrals.iter().map(|referral| referral.region.as_deref());
        let regions: Vec<&str> = regions.map(Option::unwrap_or_default).collect();
        (!addresses.is_empty()).then(|| {
            [
                (REFERRAL_HEADER, addresses.join(",")),
                (REFERRAL_REGIONS_HEADER, regions.join(",")),
            ]
        })
    }
}

/// Ends a body of which no part comes for too long.
fn limit_pauses(body: ResponsePayload) -> ResponsePayload {
    let parts = stream::unfold(Some(body), |body| async move {
        let mut body = body?;
        match timeout(FORWARD_IDLE_TIMEOUT, body.next()).await {
            Ok(part) => part.map(|part| (part, Some(body))),
            Err(_) => Some((Err(PayloadError::Incomplete(None)), None)),
        }
    });
    parts.boxed_local()
}

fn read_referrals(headers: &HeaderMap) -> Vec<ForwarderReferral> {
    let read = |name| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().split(',')
    };
    // Without its region, a VM gets only requests that may be served everywhere.
    let regions = read(REFERRAL_REGIONS_HEADER).map(Some);
    let referrals = read(REFERRAL_HEADER).zip(regions.chain(repeat(None)));
    let referrals = referrals.filter_map(|(address, region)| {
        let region = region.filter(|region| !region.is_empty());
        Some(ForwarderReferral {
            address: address.parse().ok()?,
            region: region.map(RegionName::from),
        })
    });
    referrals.collect()
}
