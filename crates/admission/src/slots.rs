//! Token buckets of one held slot, one per organisation that is in use.

use crate::bucket::TokenBucket;
use crate::split::{Share, SlotId, SlotLayout};
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_core::{OrganisationId, Uptime};
use std::collections::HashMap;
use std::sync::Arc;

/// What the shares are computed from.
#[derive(Clone, Debug, Default)]
pub struct SplitBasis {
    /// Slots of the fleet.
    pub layout: Arc<SlotLayout>,
    /// Rates and bursts in force on this VM.
    pub config: Arc<FleetConfig>,
}

/// Widths that other slots may still split an organisation's rate by, besides the current one.
#[derive(Clone, Debug, Eq, PartialEq)]
enum OtherWidths {
    /// Any width: this VM does not know which were in force.
    Any,
    /// These widths.
    Listed(Vec<u32>),
}

/// Buckets of one slot.
///
/// Two VMs that split one rate over different numbers of slots could together give more than the whole. So a slot
/// whose organisation changes its width takes the least share of all widths that another slot may still use,
/// until every slot row carries the same digest.
#[derive(Debug)]
pub struct SlotBuckets {
    slot: SlotId,
    /// The slot was never held before, so untouched buckets are full.
    fresh: bool,
    /// Since when untouched buckets fill; none before the rows agreed once.
    filling_since: Option<Uptime>,
    others: HashMap<OrganisationId, OtherWidths>,
    buckets: HashMap<OrganisationId, TokenBucket>,
    /// When organisations were removed. Created again, they fill from then on.
    removed: HashMap<OrganisationId, Uptime>,
}

impl SlotBuckets {
    /// Buckets of a slot that has just been taken: without tokens unless it is `fresh`, and not filling until the
    /// rows agree.
    #[must_use]
    pub fn new(slot: SlotId, fresh: bool) -> SlotBuckets {
        SlotBuckets {
            slot,
            fresh,
            filling_since: None,
            others: HashMap::new(),
            buckets: HashMap::new(),
            removed: HashMap::new(),
        }
    }

    /// Number of buckets held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.buckets.len()
    }

    /// Tokens that are lent.
    #[must_use]
    pub fn lent(&self) -> u64 {
        let buckets = self.buckets.values();
        buckets.map(|bucket| u64::from(bucket.lent())).sum()
    }

    /// A share shrank below the tokens that are lent of it, so other slots must not grow yet.
    #[must_use]
    pub fn is_over(&self) -> bool {
        let mut changed = self.others.keys().filter_map(|id| self.buckets.get(id));
        changed.any(TokenBucket::is_over)
    }

    /// All widths are agreed with the other slots.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.filling_since.is_some() && self.others.is_empty()
    }

    /// The bucket of `organisation`, or none when it has no share here.
    pub fn bucket(
        &mut self,
        organisation: &OrganisationId,
        basis: &SplitBasis,
        now: Uptime,
    ) -> Option<&mut TokenBucket> {
        self.filling_since?;
        if !self.buckets.contains_key(organisation) {
            let spec = basis.config.organisations.get(organisation)?;
            let share = self.share(organisation, Some(spec), &basis.layout);
            self.insert_bucket(organisation, share, now);
        }
        self.buckets.get_mut(organisation)
    }

    /// The bucket of `organisation` if there is one.
    pub fn existing(&mut self, organisation: &OrganisationId) -> Option<&mut TokenBucket> {
        self.buckets.get_mut(organisation)
    }

    /// Drops buckets that a new one would equal.
    pub fn evict(&mut self, now: Uptime) {
        self.buckets.retain(|_, bucket| !bucket.is_full(now));
    }

    /// Takes in that `organisation` changed from `old` when `basis` came into force.
    pub fn change(
        &mut self,
        organisation: &OrganisationId,
        old: Option<&OrganisationSpec>,
        basis: &SplitBasis,
        now: Uptime,
    ) {
        let new = basis.config.organisations.get(organisation);
        if old.is_some() && !self.buckets.contains_key(organisation) {
            let share = self.share(organisation, old, &basis.layout);
            self.insert_bucket(organisation, share, now);
        }
        self.note_widths(organisation, old, new, &basis.layout);
        let share = self.share(organisation, new, &basis.layout);
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.set_share(share, now);
        }
        if new.is_none() {
            self.removed.insert(organisation.clone(), now);
        }
    }

    /// The layout changed: nothing fills until the rows agree. Lent tokens keep counting.
    pub fn suspend(&mut self, now: Uptime) {
        self.filling_since = None;
        self.fresh = false;
        for bucket in self.buckets.values_mut() {
            bucket.set_share(Share::default(), now);
        }
    }

    /// All rows carry the digest of `basis`: every slot uses its widths, so other widths are out of use.
    pub fn settle(&mut self, basis: &SplitBasis, now: Uptime) {
        if self.is_settled() {
            return;
        }
        let restart = self.filling_since.is_none();
        self.filling_since.get_or_insert(now);
        let changed: Vec<OrganisationId> = if restart {
            self.buckets.keys().cloned().collect()
        } else {
            self.others.keys().cloned().collect()
        };
        self.others.clear();
        for organisation in changed {
            let spec = basis.config.organisations.get(&organisation);
            let share = self.share(&organisation, spec, &basis.layout);
            if let Some(bucket) = self.buckets.get_mut(&organisation) {
                bucket.set_share(share, now);
            }
        }
    }

    /// Makes the bucket of an organisation explicit that was not used since the slot was taken or the
    /// organisation was removed.
    fn insert_bucket(&mut self, organisation: &OrganisationId, share: Share, now: Uptime) {
        let Some(since) = self.filling_since else {
            return;
        };
        let bucket = match self.removed.get(organisation) {
            Some(removed) => TokenBucket::empty(share, since.max(*removed)),
            None if self.fresh => TokenBucket::full(share, since),
            None => TokenBucket::empty(share, since),
        };
        let mut bucket = bucket;
        bucket.set_share(share, now);
        self.buckets.insert(organisation.clone(), bucket);
    }

    fn note_widths(
        &mut self,
        organisation: &OrganisationId,
        old: Option<&OrganisationSpec>,
        new: Option<&OrganisationSpec>,
        layout: &SlotLayout,
    ) {
        // An organisation that does not exist counts in the digest like one of the full width.
        let full = layout.count();
        let old_width = old.map(|spec| layout.width(spec));
        let new_width = new.map(|spec| layout.width(spec));
        if old_width.unwrap_or(full) == new_width.unwrap_or(full) {
            return;
        }
        let entry = self
            .others
            .entry(organisation.clone())
            .or_insert_with(|| OtherWidths::Listed(Vec::new()));
        match (old_width, &mut *entry) {
            // A VM that lags behind may create it with a width that this VM does not know of.
            (None, _) => *entry = OtherWidths::Any,
            (Some(width), OtherWidths::Listed(widths)) => widths.push(width),
            (Some(_), OtherWidths::Any) => {}
        }
    }

    fn share(
        &self,
        organisation: &OrganisationId,
        spec: Option<&OrganisationSpec>,
        layout: &SlotLayout,
    ) -> Share {
        let Some(spec) = spec.filter(|_| self.filling_since.is_some()) else {
            return Share::default();
        };
        let whole = Share::whole(spec.rate, spec.burst);
        let rank = layout.rank(organisation, &self.slot);
        let share = whole.at(rank, layout.width(spec));
        match self.others.get(organisation) {
            None => share,
            // The first slot has the least share at the full width; every other slot has none at width one.
            Some(OtherWidths::Any) => {
                let narrow = whole.at(rank, 1);
                share.least(narrow).least(whole.at(rank, layout.count()))
            }
            Some(OtherWidths::Listed(widths)) => {
                let shares = widths.iter().map(|width| whole.at(rank, *width));
                shares.fold(share, Share::least)
            }
        }
    }
}
