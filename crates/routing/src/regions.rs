//! Regions of one request, computed from the document in force.

use crate::view::DocumentView;
use compact_str::CompactString;
use plantainmill_core::{Clock, OrganisationId, RegionInputs, RegionSet, RegionSource};
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

/// Computes the regions of a request from its route and organisation in the document in force.
pub struct DocumentRegions {
    /// The document.
    pub view: DocumentView,
    /// Clock for the age of the document.
    pub clock: Arc<dyn Clock>,
    /// Host of the request.
    pub host: CompactString,
    /// Path of the request.
    pub path: CompactString,
    /// Name of a further route whose regions apply: that of the job, for an item.
    pub job_route: Option<CompactString>,
    /// Organisation that the request is made for; `None` on public routes.
    pub organisation: Option<OrganisationId>,
}

impl RegionSource for DocumentRegions {
    /// A rule that the document no longer has allows everything, because what it allowed before still applies to a request
    /// that waits or runs.
    fn allowed(&self) -> RegionSet {
        let Some(document) = self.view.load() else {
            return RegionSet::Everywhere;
        };
        let routes = [
            document.find_route(&self.host, &self.path),
            self.job_route
                .as_ref()
                .and_then(|name| document.route_named(name)),
        ];
        let organisation = self.organisation.as_ref();
        let organisation = organisation.and_then(|name| document.organisations.get(name));
        let rules = routes.into_iter().flatten().map(|route| &route.regions);
        let rules = rules.chain(organisation.map(|rule| &rule.regions));
        rules.fold(RegionSet::Everywhere, |allowed, regions| {
            allowed.intersect(regions)
        })
    }

    fn inputs(&self) -> RegionInputs {
        RegionInputs {
            version: self.view.version(),
            age: self.view.age(self.clock.uptime()),
        }
    }
}

impl Debug for DocumentRegions {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let fields = (&self.host, &self.path, &self.job_route, &self.organisation);
        formatter
            .debug_tuple("DocumentRegions")
            .field(&fields)
            .finish()
    }
}
