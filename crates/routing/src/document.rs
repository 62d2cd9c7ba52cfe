//! The fleet document: routes, organisations and limits of one version.

use compact_str::CompactString;
use plantainmill_core::{OrganisationId, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// What a request on a route may be used for, and how often it may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// Answered by a stream of events; may run once at most unless the route is resumable.
    Streaming,
    /// Takes batch jobs.
    Batch,
}

/// A service with its part of a route's traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShare {
    /// Service.
    pub service: ServiceName,
    /// Weight against the other shares of the route.
    pub weight: u32,
}

/// What holds for the jobs of a batch route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRule {
    /// Time from the first submission until all results are due.
    pub completion: Duration,
    /// Time from the first submission after which an item may be given up.
    pub retention: Duration,
    /// Most tokens of one organisation that may wait; zero is no limit.
    pub token_limit: u64,
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRule {
    /// Name.
    pub name: CompactString,
    /// Host it belongs to, in lower case.
    pub host: CompactString,
    /// Start of the paths it takes; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// Kind.
    pub kind: RouteKind,
    /// Targets that one request may run on at most.
    pub attempts: u32,
    /// Longest time that a request is kept.
    pub time_limit: Duration,
    /// Time in which an answer, or the first event of a stream, is worth its full value.
    pub objective: Duration,
    /// Longest pause between events for which a stream is on time.
    pub event_gap: Duration,
    /// Rank, 0 first.
    pub priority: u32,
    /// Needs no key.
    pub public: bool,
    /// Streams may go on at another target.
    pub resumable: bool,
    /// Services, with their weights.
    pub shares: Vec<ServiceShare>,
    /// Rule for jobs, on batch routes.
    pub job: Option<JobRule>,
}

impl RouteRule {
    /// The service of the request `request_id`. Equal ids go to the same service.
    #[must_use]
    pub fn pick_service(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }

    /// Says whether a request may run again after a run with an unknown end.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// An organisation with its keys and rate.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationRule {
    /// Keys that are valid.
    pub keys: Vec<CompactString>,
    /// Requests per second over all VMs; zero is no limit.
    pub rate_per_s: u32,
    /// Requests above the rate that may come at once.
    pub burst: u32,
    /// Rank that goes before that of routes, 0 first.
    pub priority: Option<u32>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for the head of a request.
    pub header_time: Duration,
    /// Time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits for the time before the first document.
    fn default() -> CallerLimits {
        CallerLimits {
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}

/// One version of the fleet document, with its indexes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetDocument {
    /// Version; rises from change to change, not always by one.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    routes: HashMap<CompactString, Vec<RouteRule>>,
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, OrganisationRule>,
    /// Organisation of each key.
    keys: HashMap<CompactString, OrganisationId>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl FleetDocument {
    /// A document of `routes` and `organisations`.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<RouteRule>,
        organisations: BTreeMap<OrganisationId, OrganisationRule>,
        limits: CallerLimits,
    ) -> FleetDocument {
        let mut by_host: HashMap<CompactString, Vec<RouteRule>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let keys = organisations.iter().flat_map(|(name, organisation)| {
            let keys = organisation.keys.iter();
            keys.map(|key| (key.clone(), name.clone()))
        });
        FleetDocument {
            version,
            routes: by_host,
            keys: keys.collect(),
            organisations,
            limits,
        }
    }

    /// The route of a request: of the host's routes, the one with the longest prefix of `path`.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let rules = self.routes.get(host)?;
        rules
            .iter()
            .find(|rule| path.starts_with(rule.path_prefix.as_str()))
    }

    /// The route named `name`.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&RouteRule> {
        self.routes
            .values()
            .flatten()
            .find(|rule| rule.name == name)
    }

    /// The organisation that holds `key`.
    #[must_use]
    pub fn organisation_of_key(&self, key: &str) -> Option<&OrganisationId> {
        self.keys.get(key)
    }

    /// Says whether keys are needed at all.
    #[must_use]
    pub fn has_organisations(&self) -> bool {
        !self.organisations.is_empty()
    }
}
