//! Fair queue with deficit round robin over organisations.

use plantainmill_core::OrganisationId;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
struct QueueLane<T> {
    items: VecDeque<T>,
    weight: u32,
    deficit: u32,
}

/// Queue that serves organisations in turn, each with up to its weight in requests per round.
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: BTreeMap<OrganisationId, QueueLane<T>>,
    round: VecDeque<OrganisationId>,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue {
            lanes: BTreeMap::new(),
            round: VecDeque::new(),
            length: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued requests of all organisations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of queued requests of `organisation`.
    #[must_use]
    pub fn len_of(&self, organisation: &str) -> usize {
        let lane = self.lanes.get(organisation);
        lane.map_or(0, |lane| lane.items.len())
    }

    /// Sum of the weights of all organisations with queued requests except `organisation`.
    #[must_use]
    pub fn weight_of_others(&self, organisation: &str) -> u32 {
        let lanes = self.lanes.iter().filter(|(id, _)| *id != organisation);
        lanes.map(|(_, lane)| lane.weight).sum()
    }

    /// Appends a request of `organisation`. The weight, at least one, applies to all its queued requests.
    pub fn push(&mut self, organisation: &OrganisationId, weight: u32, item: T) {
        let weight = weight.max(1);
        let lane = self.lanes.entry(organisation.clone()).or_insert_with(|| {
            self.round.push_back(organisation.clone());
            QueueLane {
                items: VecDeque::new(),
                weight,
                deficit: 0,
            }
        });
        lane.weight = weight;
        lane.items.push_back(item);
        self.length += 1;
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<T> {
        let organisation = self.round.front()?.clone();
        let lane = self.lanes.get_mut(&organisation)?;
        if lane.deficit == 0 {
            lane.deficit = lane.weight;
        }
        let item = lane.items.pop_front()?;
        lane.deficit -= 1;
        self.length -= 1;
        if lane.items.is_empty() {
            self.lanes.remove(&organisation);
            self.round.pop_front();
        } else if lane.deficit == 0 {
            self.round.rotate_left(1);
        }
        Some(item)
    }

    /// All queued requests, by organisation.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.lanes.values().flat_map(|lane| lane.items.iter())
    }

    /// All queued requests, by organisation, for changes in place.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        let lanes = self.lanes.values_mut();
        lanes.flat_map(|lane| lane.items.iter_mut())
    }

    /// Removes the requests for which `keep` is false.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.items.retain(&mut keep);
        }
        self.lanes.retain(|_, lane| !lane.items.is_empty());
        let lanes = &self.lanes;
        self.round
            .retain(|organisation| lanes.contains_key(organisation));
        self.length = lanes.values().map(|lane| lane.items.len()).sum();
    }
}
