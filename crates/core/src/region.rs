//! Regions in which a request may be served.

use crate::id::RegionName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::{self, Debug, Display, Formatter};
use std::time::Duration;

/// Regions in which a request may be served, cached and stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RegionSet {
    /// All regions, also unknown ones.
    #[default]
    Everywhere,
    /// Only these; none if the set is empty.
    Only(BTreeSet<RegionName>),
}

impl RegionSet {
    /// The regions named in a configuration, where an empty list means everywhere.
    #[must_use]
    pub fn of_names(names: impl IntoIterator<Item = RegionName>) -> RegionSet {
        let names: BTreeSet<RegionName> = names.into_iter().collect();
        if names.is_empty() {
            RegionSet::Everywhere
        } else {
            RegionSet::Only(names)
        }
    }

    /// No region.
    #[must_use]
    pub fn nowhere() -> RegionSet {
        RegionSet::Only(BTreeSet::new())
    }

    /// Whether no region is excluded.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        *self == RegionSet::Everywhere
    }

    /// Whether `region` is allowed. A receiver whose region is not known is allowed only if no region is excluded.
    #[must_use]
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match self {
            RegionSet::Everywhere => true,
            RegionSet::Only(names) => region.is_some_and(|region| names.contains(region)),
        }
    }

    /// The regions that both allow.
    #[must_use]
    pub fn intersect(&self, other: &RegionSet) -> RegionSet {
        match (self, other) {
            (RegionSet::Everywhere, regions) | (regions, RegionSet::Everywhere) => regions.clone(),
            (RegionSet::Only(names), RegionSet::Only(others)) => {
                RegionSet::Only(names.intersection(others).cloned().collect())
            }
        }
    }

    /// The named regions; none if no region is excluded.
    pub fn names(&self) -> impl Iterator<Item = &RegionName> {
        let names = match self {
            RegionSet::Everywhere => None,
            RegionSet::Only(names) => Some(names),
        };
        names.into_iter().flatten()
    }
}

impl Display for RegionSet {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if self.is_everywhere() {
            return formatter.write_str("everywhere");
        }
        let mut names = self.names();
        let Some(first) = names.next() else {
            return formatter.write_str("none");
        };
        formatter.write_str(first)?;
        names.try_for_each(|name| write!(formatter, ",{name}"))
    }
}

/// What the regions of a request are computed from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RegionInputs {
    /// Version of the configuration.
    pub version: u64,
    /// Time since that version was known to be the latest one; `None` if it never was.
    pub age: Option<Duration>,
}

/// Computes the regions of one request from the configuration in force.
pub trait RegionSource: Debug {
    /// The regions that the configuration allows now.
    fn allowed(&self) -> RegionSet;
    /// What they are computed from.
    fn inputs(&self) -> RegionInputs;
}
