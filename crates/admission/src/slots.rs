//! Token buckets of one held slot, one per active organisation.

use crate::bucket::TokenBucket;
use crate::split::{Share, SlotId, SlotLayout};
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_core::{OrganisationId, Uptime};
use std::collections::HashMap;
use std::sync::Arc;

/// Inputs that determine the share of each slot.
#[derive(Clone, Debug, Default)]
pub struct SplitInputs {
    /// Slot layout that this VM last read.
    pub layout: Arc<SlotLayout>,
    /// Configuration in force on this VM, with the rates and bursts.
    pub config: Arc<FleetConfig>,
}

/// Widths that holders of other slots may still use for an organisation, besides the current width.
#[derive(Clone, Debug, Eq, PartialEq)]
enum OtherWidths {
    /// Unknown to this VM, so any width is possible.
    Any,
    Listed(Vec<u32>),
}

/// Token buckets of one held slot.
///
/// VMs that split one rate over different numbers of slots could together admit more than the rate. When the width of
/// an organisation changes, a slot therefore uses the smallest share under all widths that another slot may still
/// use, until every slot row carries the same digest.
#[derive(Debug)]
pub struct SlotBuckets {
    slot: SlotId,
    /// The slot was never held before, so unused buckets start full.
    initially_full: bool,
    /// Time from which unused buckets refill; `None` until the slot rows have agreed once.
    filling_since: Option<Uptime>,
    other_widths: HashMap<OrganisationId, OtherWidths>,
    buckets: HashMap<OrganisationId, TokenBucket>,
    /// Removal time of removed organisations. If such an organisation is created again, its bucket starts empty and
    /// refills from that time.
    removed: HashMap<OrganisationId, Uptime>,
}

impl SlotBuckets {
    /// Creates the buckets of a newly acquired slot. They start empty unless `initially_full`, and do not refill
    /// until the slot rows agree.
    #[must_use]
    pub fn new(slot: SlotId, initially_full: bool) -> SlotBuckets {
        SlotBuckets {
            slot,
            initially_full,
            filling_since: None,
            other_widths: HashMap::new(),
            buckets: HashMap::new(),
            removed: HashMap::new(),
        }
    }

    /// Number of buckets in memory.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Tokens lent from this slot and not resolved yet.
    #[must_use]
    pub fn lent(&self) -> u64 {
        let buckets = self.buckets.values();
        buckets.map(|bucket| u64::from(bucket.lent())).sum()
    }

    /// Whether a share was reduced below the tokens lent from it. Other slots must not increase their shares until
    /// the loans are resolved.
    #[must_use]
    pub fn is_overlent(&self) -> bool {
        let mut changed = self
            .other_widths
            .keys()
            .filter_map(|id| self.buckets.get(id));
        changed.any(TokenBucket::is_overlent)
    }

    /// Whether the slot uses widths that all slots have agreed on.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.filling_since.is_some() && self.other_widths.is_empty()
    }

    /// Bucket of `organisation`, created on first use. `None` when the organisation does not exist or the slot rows
    /// have not agreed yet.
    pub fn bucket(
        &mut self,
        organisation: &OrganisationId,
        split_inputs: &SplitInputs,
        now: Uptime,
    ) -> Option<&mut TokenBucket> {
        self.filling_since?;
        if !self.buckets.contains_key(organisation) {
            let spec = split_inputs.config.organisations.get(organisation)?;
            let share = self.share(organisation, Some(spec), &split_inputs.layout);
            self.insert_bucket(organisation, share, now);
        }
        self.buckets.get_mut(organisation)
    }

    /// Bucket of `organisation` if it is in memory.
    pub fn existing_bucket(&mut self, organisation: &OrganisationId) -> Option<&mut TokenBucket> {
        self.buckets.get_mut(organisation)
    }

    /// Evicts full buckets without loans, since a new bucket would be equal to them.
    pub fn evict(&mut self, now: Uptime) {
        self.buckets.retain(|_, bucket| !bucket.is_full(now));
    }

    /// Applies a change of `organisation` from `old` to its current specification in `split_inputs`.
    pub fn apply_change(
        &mut self,
        organisation: &OrganisationId,
        old: Option<&OrganisationSpec>,
        split_inputs: &SplitInputs,
        now: Uptime,
    ) {
        let new = split_inputs.config.organisations.get(organisation);
        if old.is_some() && !self.buckets.contains_key(organisation) {
            let share = self.share(organisation, old, &split_inputs.layout);
            self.insert_bucket(organisation, share, now);
        }
        self.record_other_width(organisation, old, new, &split_inputs.layout);
        let share = self.share(organisation, new, &split_inputs.layout);
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.set_share(share, now);
        }
        if new.is_none() {
            self.removed.insert(organisation.clone(), now);
        }
    }

    /// Stops refilling after a layout change, until the slot rows agree. Lent tokens keep counting.
    pub fn suspend(&mut self, now: Uptime) {
        self.filling_since = None;
        self.initially_full = false;
        for bucket in self.buckets.values_mut() {
            bucket.set_share(Share::default(), now);
        }
    }

    /// Adopts the widths of `split_inputs` once all slot rows carry its digest, and drops all other widths.
    pub fn adopt_agreed_widths(&mut self, split_inputs: &SplitInputs, now: Uptime) {
        if self.is_converged() {
            return;
        }
        let resumed = self.filling_since.is_none();
        self.filling_since.get_or_insert(now);
        let changed: Vec<OrganisationId> = if resumed {
            self.buckets.keys().cloned().collect()
        } else {
            self.other_widths.keys().cloned().collect()
        };
        self.other_widths.clear();
        for organisation in changed {
            let spec = split_inputs.config.organisations.get(&organisation);
            let share = self.share(&organisation, spec, &split_inputs.layout);
            if let Some(bucket) = self.buckets.get_mut(&organisation) {
                bucket.set_share(share, now);
            }
        }
    }

    /// Creates the bucket of an organisation that was not used since the slot was acquired or the organisation was
    /// removed.
    fn insert_bucket(&mut self, organisation: &OrganisationId, share: Share, now: Uptime) {
        let Some(since) = self.filling_since else {
            return;
        };
        let bucket = match self.removed.get(organisation) {
            Some(removed) => TokenBucket::empty(share, since.max(*removed)),
            None if self.initially_full => TokenBucket::full(share, since),
            None => TokenBucket::empty(share, since),
        };
        let mut bucket = bucket;
        bucket.set_share(share, now);
        self.buckets.insert(organisation.clone(), bucket);
    }

    fn record_other_width(
        &mut self,
        organisation: &OrganisationId,
        old: Option<&OrganisationSpec>,
        new: Option<&OrganisationSpec>,
        layout: &SlotLayout,
    ) {
        // In the digest, an organisation that does not exist counts like one that is split over all slots.
        let full = layout.count();
        let old_width = old.map(|spec| layout.width(spec));
        let new_width = new.map(|spec| layout.width(spec));
        if old_width.unwrap_or(full) == new_width.unwrap_or(full) {
            return;
        }
        let entry = self
            .other_widths
            .entry(organisation.clone())
            .or_insert_with(|| OtherWidths::Listed(Vec::new()));
        match (old_width, &mut *entry) {
            // A VM with an older configuration may create it with a width that this VM does not know.
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
        let share = whole.at_rank(rank, layout.width(spec));
        match self.other_widths.get(organisation) {
            None => share,
            // The slot at rank 0 has its smallest share at the full width; every other slot has no share at width 1.
            Some(OtherWidths::Any) => {
                let narrow = whole.at_rank(rank, 1);
                share
                    .component_min(narrow)
                    .component_min(whole.at_rank(rank, layout.count()))
            }
            Some(OtherWidths::Listed(widths)) => {
                let shares = widths.iter().map(|width| whole.at_rank(rank, *width));
                shares.fold(share, Share::component_min)
            }
        }
    }
}
