//! The fleet document: routes, organisations and limits of one version.

use compact_str::{CompactString, format_compact};
use plantainmill_core::{OrganisationId, RegionSet, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Kind of requests on a route, and how often one request may be executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// May be executed any number of times.
    Idempotent,
    /// May be executed at most once.
    NonIdempotent,
    /// The response is a stream of events; executed at most once unless the route is resumable.
    Streaming,
    /// Accepts batch jobs.
    Batch,
}

/// A service with its share of a route's traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShare {
    /// Service that gets the share.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route; zero gets no traffic. If all weights are zero, the
    /// first share gets all of it.
    pub weight: u32,
}

/// Limits for the jobs of a batch route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRule {
    /// Target time from the first submission until all results are available.
    pub completion: Duration,
    /// Time from the first submission after which unfinished items may be abandoned.
    pub retention: Duration,
    /// Maximum number of queued tokens per organisation; zero means no limit.
    pub token_limit: u64,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRule {
    /// Name, set by the operator.
    pub name: CompactString,
    /// Host that the route matches, in lower case.
    pub host: CompactString,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// Kind of the requests, which decides whether they may be retried.
    pub kind: RouteKind,
    /// Maximum number of targets that one request is tried on.
    pub attempts: u32,
    /// Maximum time that a request may take; the default for requests without a deadline of their own.
    pub time_limit: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Latency objective for the gap between two events of a stream.
    pub event_gap: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether an interrupted stream may be resumed on another target.
    pub resumable: bool,
    /// Services that share the traffic, with their weights.
    pub shares: Vec<ServiceShare>,
    /// Limits for jobs; only on batch routes.
    pub job: Option<JobRule>,
    /// Regions in which the requests may be served. Documents of older releases leave it out.
    #[serde(default)]
    pub regions: RegionSet,
}

impl RouteRule {
    /// Selects the service of a request by weighted hashing, so that retries with the same `request_id` use the same
    /// service. `None` if the route has no service.
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

    /// Returns whether a request may be executed again after an attempt with an unknown outcome.
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
    /// Valid API keys of the organisation.
    pub keys: Vec<CompactString>,
    /// Rate limit across all VMs, in requests per second; zero means no limit.
    pub rate_per_s: u32,
    /// Number of requests beyond the rate that are admitted at once.
    pub burst: u32,
    /// Priority that takes precedence over the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// Regions in which the requests of the organisation may be served. Documents of older releases leave it out.
    #[serde(default)]
    pub regions: RegionSet,
}

/// What the document says about a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Time after its start in which a target is cold.
    pub cold_start: Duration,
    /// Requests a second that a cold target sustains from all VMs together; zero if targets are never cold.
    pub cold_per_s: f64,
}

/// Limits for requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the head of a request.
    pub header_time: Duration,
    /// Maximum idle time of a connection.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply before the first document has been read.
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
    /// Version; increases with every change, but not always by one.
    pub version: u64,
    /// Routes by host, ordered by descending length of the path prefix.
    routes: HashMap<CompactString, Vec<RouteRule>>,
    /// Organisations by id; if there are none, requests need no API key.
    pub organisations: BTreeMap<OrganisationId, OrganisationRule>,
    /// Organisations by API key.
    keys: HashMap<CompactString, OrganisationId>,
    /// Limits for requests and connections of callers.
    pub limits: CallerLimits,
    /// Services about which the document says something. Documents from older releases lack them.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceRule>,
}

impl FleetDocument {
    /// Longest time that a resumable stream may take on any route.
    #[must_use]
    pub fn longest_stream(&self) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let streams = routes.filter(|route| route.kind == RouteKind::Streaming && route.resumable);
        streams.map(|route| route.time_limit).max()
    }

    /// Creates a document and indexes its routes by host and its organisations by key.
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
            services: BTreeMap::new(),
        }
    }

    /// Sets the services.
    #[must_use]
    pub fn with_services(mut self, services: BTreeMap<ServiceName, ServiceRule>) -> FleetDocument {
        self.services = services;
        self
    }

    /// Returns the host's route with the longest path prefix of `path`.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let rules = self.routes.get(host)?;
        rules
            .iter()
            .find(|rule| path.starts_with(rule.path_prefix.as_str()))
    }

    /// Returns the route named `name`, whatever its host.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&RouteRule> {
        self.routes
            .values()
            .flatten()
            .find(|rule| rule.name == name)
    }

    /// Returns the organisation that `key` belongs to.
    #[must_use]
    pub fn organisation_of_key(&self, key: &str) -> Option<&OrganisationId> {
        self.keys.get(key)
    }

    /// Regions in which the requests of `organisation` on `route` may be served: those that both allow.
    #[must_use]
    pub fn allowed_regions(
        &self,
        route: &RouteRule,
        organisation: Option<&OrganisationId>,
    ) -> RegionSet {
        let rule = organisation.and_then(|name| self.organisations.get(name));
        rule.map_or_else(
            || route.regions.clone(),
            |rule| route.regions.intersect(&rule.regions),
        )
    }

    /// Regions in which a job of `organisation` may be held that the route named `route` accepted. A rule that the document no
    /// longer has allows everything.
    #[must_use]
    pub fn regions_of_job(&self, route: &str, organisation: &OrganisationId) -> RegionSet {
        let route = self.route_named(route).map(|rule| &rule.regions);
        let organisation = self.organisations.get(organisation);
        let rules = route
            .into_iter()
            .chain(organisation.map(|rule| &rule.regions));
        rules.fold(RegionSet::Everywhere, |allowed, regions| {
            allowed.intersect(regions)
        })
    }

    /// The rules that name regions: the field of each, and the regions.
    pub fn region_rules(&self) -> impl Iterator<Item = (CompactString, &RegionSet)> {
        let routes = self.routes.values().flatten();
        let routes = routes.map(|rule| (format_compact!("routes.{}", rule.name), &rule.regions));
        let organisations = self.organisations.iter();
        let organisations = organisations
            .map(|(name, rule)| (format_compact!("organisations.{name}"), &rule.regions));
        let rules = routes.chain(organisations);
        rules.filter(|(_, regions)| !regions.is_everywhere())
    }

    /// Returns whether there are organisations; without any, requests need no API key.
    #[must_use]
    pub fn has_organisations(&self) -> bool {
        !self.organisations.is_empty()
    }
}
