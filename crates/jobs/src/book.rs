//! The jobs that a VM knows, and which of them it should take over.

use crate::stored::{JobHead, JobOwner};
use compact_str::CompactString;
use plantainmill_core::{DomainName, JobId, OrganisationId, VmId};
use plantainmill_dispatch::rendezvous::{key_of, owner_of, score};
use plantainmill_provider::RowVersion;
use std::collections::HashMap;

/// A job as last read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownJob {
    /// Head.
    pub head: JobHead,
    /// Version of the head's row.
    pub version: RowVersion,
}

/// All known jobs.
#[derive(Debug, Default)]
pub struct JobBook {
    jobs: HashMap<JobId, KnownJob>,
}

impl JobBook {
    /// Takes a head as read. An older version than the known one changes nothing.
    pub fn learn(&mut self, job: &JobId, head: JobHead, version: RowVersion) -> bool {
        if self
            .jobs
            .get(job)
            .is_some_and(|known| known.version >= version)
        {
            return false;
        }
        self.jobs.insert(job.clone(), KnownJob { head, version });
        true
    }

    /// Drops a job whose rows were removed by a transaction not older than `version`.
    pub fn forget(&mut self, job: &JobId, version: RowVersion) {
        if self
            .jobs
            .get(job)
            .is_some_and(|known| known.version <= version)
        {
            self.jobs.remove(job);
        }
    }

    /// A job.
    #[must_use]
    pub fn get(&self, job: &JobId) -> Option<&KnownJob> {
        self.jobs.get(job)
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &KnownJob)> {
        self.jobs.iter()
    }

    /// Tokens of the items of an organisation on a route that wait to be done.
    #[must_use]
    pub fn waiting_tokens(&self, organisation: &OrganisationId, route: &CompactString) -> u64 {
        let jobs = self.jobs.values().map(|known| &known.head);
        jobs.filter(|head| {
            head.is_open() && head.organisation == *organisation && head.route == *route
        })
        .map(|head| head.tokens_left)
        .sum()
    }

    /// The open jobs that are `own`'s and that `is_running` does not name.
    pub fn to_resume<'a>(
        &'a self,
        own: &'a JobOwner,
        is_running: impl Fn(&JobId) -> bool + 'a,
    ) -> impl Iterator<Item = (&'a JobId, &'a KnownJob)> + 'a {
        let open = self.jobs.iter().filter(|(_, known)| known.head.is_open());
        open.filter(move |(job, known)| known.head.owner.as_ref() == Some(own) && !is_running(job))
    }

    /// The open jobs without a live owner that `own` has to give to a VM of its domain, with their new owners.
    #[must_use]
    pub fn orphans(
        &self,
        own: &JobOwner,
        fleet: &FleetSnapshot,
    ) -> Vec<(JobId, KnownJob, JobOwner)> {
        let open = self.jobs.iter().filter(|(_, known)| known.head.is_open());
        let orphans = open.filter(|(_, known)| {
            let owner = known.head.owner.as_ref();
            owner.is_none_or(|owner| owner != own && !fleet.live.contains(owner))
        });
        orphans
            .filter(|(job, _)| fleet.is_responsible(job, own))
            .filter_map(|(job, known)| {
                let new_owner = fleet.new_owner_of(job)?.clone();
                Some((job.clone(), known.clone(), new_owner))
            })
            .collect()
    }
}

/// What a VM knows of the others that may run jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetSnapshot {
    /// All VMs that are heard.
    pub live: Vec<JobOwner>,
    /// Failure domains that are heard, the own one among them.
    pub domains: Vec<DomainName>,
    /// VMs that read the store for the own domain.
    pub readers: Vec<VmId>,
    /// Own failure domain.
    pub domain: DomainName,
    /// VMs of the own domain that are heard, the own one among them.
    pub members: Vec<JobOwner>,
}

impl FleetSnapshot {
    /// Whether `own` decides about an orphaned job. All VMs with the same view of the fleet agree.
    #[must_use]
    pub fn is_responsible(&self, job: &JobId, own: &JobOwner) -> bool {
        let key = key_of(job);
        let domain = owner_of(self.domains.iter().map(CompactString::as_str), key);
        let reader = owner_of(self.readers.iter().map(CompactString::as_str), key);
        domain == Some(self.domain.as_str()) && reader == Some(own.vm.as_str())
    }

    /// The VM of the own domain that gets an orphaned job.
    fn new_owner_of(&self, job: &JobId) -> Option<&JobOwner> {
        let key = key_of(job);
        self.members
            .iter()
            .max_by_key(|member| score(&member.vm, key))
    }

    /// Whether `own` reads the store for its domain.
    #[must_use]
    pub fn is_reader(&self, own: &JobOwner) -> bool {
        self.readers.contains(&own.vm)
    }
}
