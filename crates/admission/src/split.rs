//! How an organisation's rate and burst are split over slots.

use compact_str::{CompactString, format_compact};
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_core::DomainName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Row with the layout of the slots.
pub const LAYOUT_KEY: &str = "slot-layout";
/// Fewest tokens of a share, when the rate is split at all. With smaller shares, tokens are lost in full buckets
/// while others are empty: at 4 tokens 1.8% of the requests within the rate were refused, at 1 token 23%.
pub const SHARE_LEAST: u32 = 8;
/// Nanotokens in one token.
const NANOTOKENS: f64 = 1e9;
/// Highest rate that is told apart, per second.
const RATE_LIMIT: f64 = 1e9;

/// One slot: a part of every organisation's rate that one VM holds at a time.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SlotId {
    /// Failure domain whose VMs may hold it.
    pub domain: DomainName,
    /// Number within the domain.
    pub index: u16,
}

impl SlotId {
    /// Key of its row.
    #[must_use]
    pub fn row_key(&self) -> CompactString {
        format_compact!("slot/{}/{}", self.domain, self.index)
    }

    /// Place of the slot in `organisation`'s rendezvous order; the highest comes first.
    fn weight(&self, organisation: &str) -> u64 {
        let seed = xxh3_64(self.row_key().as_bytes());
        xxh3_64_with_seed(organisation.as_bytes(), seed)
    }
}

/// The slots of the fleet. All VMs agree on it through the row [`LAYOUT_KEY`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotLayout {
    /// Raised by every change. Slots of the first generation that were never held start with full buckets.
    pub generation: u64,
    /// Number of slots by failure domain.
    pub domains: BTreeMap<DomainName, u16>,
}

impl SlotLayout {
    /// All slots in order.
    #[must_use]
    pub fn slots(&self) -> Vec<SlotId> {
        let domains = self.domains.keys();
        domains.flat_map(|domain| self.slots_of(domain)).collect()
    }

    /// Slots of one failure domain.
    #[must_use]
    pub fn slots_of(&self, domain: &DomainName) -> Vec<SlotId> {
        let count = self.domains.get(domain).copied().unwrap_or(0);
        let indexes = 0..count;
        let slots = indexes.map(|index| SlotId {
            domain: domain.clone(),
            index,
        });
        slots.collect()
    }

    /// Number of slots.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.domains.values().map(|count| u32::from(*count)).sum()
    }

    /// All slots in `organisation`'s rendezvous order.
    #[must_use]
    pub fn ranked(&self, organisation: &str) -> Vec<SlotId> {
        let mut slots = self.slots();
        slots.sort_by_cached_key(|slot| (u64::MAX - slot.weight(organisation), slot.clone()));
        slots
    }

    /// Place of `slot` in `organisation`'s rendezvous order.
    #[must_use]
    pub fn rank(&self, organisation: &str, slot: &SlotId) -> u32 {
        let own = slot.weight(organisation);
        let slots = self.slots();
        let before = slots.iter().filter(|other| {
            let weight = other.weight(organisation);
            weight > own || (weight == own && *other < slot)
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Digest of how every organisation of `config` is split. The full width is the common case and is left out.
    #[must_use]
    pub fn digest(&self, config: &FleetConfig) -> u64 {
        let full = self.count();
        let mut digest = Xxh3::new();
        for slot in self.slots() {
            digest.update(slot.row_key().as_bytes());
            digest.update(&[0]);
        }
        for (id, spec) in config.organisations.iter() {
            let width = self.width(spec);
            if width != full {
                digest.update(id.as_bytes());
                digest.update(&[0]);
                digest.update(&width.to_le_bytes());
            }
        }
        digest.digest()
    }

    /// Number of slots that `spec`'s rate and burst are split over.
    #[must_use]
    pub fn width(&self, spec: &OrganisationSpec) -> u32 {
        (spec.burst / SHARE_LEAST).clamp(1, self.count().max(1))
    }
}

/// Part of an organisation's rate and burst.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// Nanotokens per second.
    pub rate: u64,
    /// Whole tokens.
    pub burst: u32,
}

impl Share {
    /// The whole of `rate` and `burst`. The rate is rounded down to nanotokens per second.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped to 0..=1e18.
    pub fn whole(rate: f64, burst: u32) -> Share {
        let sound = rate.is_finite() && rate > 0.0;
        let rate = if sound {
            (rate.min(RATE_LIMIT) * NANOTOKENS) as u64
        } else {
            0
        };
        Share { rate, burst }
    }

    /// Part of the slot at `rank` when the whole is split over the first `width` slots.
    #[must_use]
    pub fn at(self, rank: u32, width: u32) -> Share {
        if rank >= width {
            return Share::default();
        }
        Share {
            rate: self.rate / u64::from(width),
            burst: (self.burst.saturating_sub(rank)).div_ceil(width),
        }
    }

    /// The smaller rate and the smaller burst of two shares.
    #[must_use]
    pub fn least(self, other: Share) -> Share {
        Share {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}
