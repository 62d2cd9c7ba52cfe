//! In-memory catalog of the jobs that a VM has seen in the store, and the choice of those it takes over.

use crate::stored::{JobHead, JobOwner};
use compact_str::CompactString;
use plantainmill_core::{DomainName, JobId, OrganisationId, RegionName, RegionSet, VmId};
use plantainmill_dispatch::rendezvous::{key_of, owner_of, score};
use plantainmill_provider::RowVersion;
use std::collections::HashMap;

/// Last known state of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownJob {
    /// Head record as it was last read or written.
    pub head: JobHead,
    /// Store version of the head's row; the condition of the next write to it.
    pub version: RowVersion,
}

/// Latest head of every known job, by job id.
#[derive(Debug, Default)]
pub struct JobCatalog {
    jobs: HashMap<JobId, KnownJob>,
}

impl JobCatalog {
    /// Records `head` if it is newer than the known version, and returns whether it was.
    pub fn record(&mut self, job: &JobId, head: JobHead, version: RowVersion) -> bool {
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

    /// Removes a job after the store deleted its rows at `version`. A head with a newer version is kept.
    pub fn remove(&mut self, job: &JobId, version: RowVersion) {
        if self
            .jobs
            .get(job)
            .is_some_and(|known| known.version <= version)
        {
            self.jobs.remove(job);
        }
    }

    /// Removes the closed jobs that were accepted before `accepted_ms`, in milliseconds since the Unix epoch. A VM that does
    /// not read the change feed does not hear that their rows were deleted.
    pub fn forget_closed(&mut self, accepted_ms: u64) {
        self.jobs
            .retain(|_, known| known.head.is_open() || known.head.accepted_ms >= accepted_ms);
    }

    /// Returns the last known state of `job`.
    #[must_use]
    pub fn get(&self, job: &JobId) -> Option<&KnownJob> {
        self.jobs.get(job)
    }

    /// Iterates over all known jobs in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &KnownJob)> {
        self.jobs.iter()
    }

    /// Sum of [`JobHead::tokens_left`] over the open jobs of `organisation` on `route`.
    #[must_use]
    pub fn queued_tokens(&self, organisation: &OrganisationId, route: &CompactString) -> u64 {
        let jobs = self.jobs.values().map(|known| &known.head);
        jobs.filter(|head| {
            head.is_open() && head.organisation == *organisation && head.route == *route
        })
        .map(|head| head.tokens_left)
        .sum()
    }

    /// Returns the open jobs that are assigned to `owner` but for which `is_running` is false.
    pub fn resumable<'a>(
        &'a self,
        owner: &'a JobOwner,
        is_running: impl Fn(&JobId) -> bool + 'a,
    ) -> impl Iterator<Item = (&'a JobId, &'a KnownJob)> + 'a {
        let open = self.jobs.iter().filter(|(_, known)| known.head.is_open());
        open.filter(move |(id, known)| known.head.owner.as_ref() == Some(owner) && !is_running(id))
    }

    /// Returns the open jobs without a live owner that `local_owner` may have to reassign. `regions_of` states in which regions
    /// a job may be held.
    #[must_use]
    pub fn orphans(
        &self,
        local_owner: &JobOwner,
        fleet: &FleetSnapshot,
        regions_of: impl Fn(&JobHead) -> RegionSet,
    ) -> Vec<OrphanedJob> {
        let open = self.jobs.iter().filter(|(_, known)| known.head.is_open());
        let orphans = open.filter(|(_, known)| {
            let owner = known.head.owner.as_ref();
            owner.is_none_or(|owner| owner != local_owner && !fleet.live.contains(owner))
        });
        orphans
            .filter_map(|(job, known)| {
                let rank = fleet.takeover_rank(job, local_owner, &regions_of(&known.head))?;
                let new_owner = if rank == 0 {
                    fleet.new_owner_of(job)?
                } else {
                    // The VMs before this one may not reach the store, and could be chosen as owners.
                    local_owner
                };
                Some(OrphanedJob {
                    job: job.clone(),
                    known: known.clone(),
                    rank,
                    new_owner: new_owner.clone(),
                })
            })
            .collect()
    }
}

/// An open job without a live owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrphanedJob {
    /// The job.
    pub job: JobId,
    /// Its last known state.
    pub known: KnownJob,
    /// Number of VMs that reassign the job before the local one.
    pub rank: usize,
    /// The VM that the local one assigns the job to.
    pub new_owner: JobOwner,
}

/// The VMs that can run jobs, as one VM sees them. Determines who reassigns the jobs of a lost VM.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetSnapshot {
    /// All VMs in any domain whose reports arrive.
    pub live: Vec<JobOwner>,
    /// Failure domains whose reports arrive, and the local one.
    pub domains: Vec<DomainName>,
    /// VMs that read the change feed of job heads on behalf of the local domain.
    pub readers: Vec<VmId>,
    /// Failure domain of the local VM.
    pub domain: DomainName,
    /// VMs of the local domain whose reports arrive, and the local one.
    pub members: Vec<JobOwner>,
    /// Region of each failure domain.
    pub regions: HashMap<DomainName, RegionName>,
}

impl FleetSnapshot {
    /// Whether `local_owner` reassigns `job` when its owner is lost, and removes it after its retention period.
    ///
    /// Uses rendezvous hashing, so all VMs with the same view of the fleet choose the same VM.
    #[must_use]
    pub fn is_responsible(&self, job: &JobId, local_owner: &JobOwner) -> bool {
        let key = key_of(job);
        let domain = owner_of(self.domains.iter().map(CompactString::as_str), key);
        let reader = owner_of(self.readers.iter().map(CompactString::as_str), key);
        domain == Some(self.domain.as_str()) && reader == Some(local_owner.vm.as_str())
    }

    /// The domains whose VMs may hold a job that is limited to `regions`: those in an allowed region, or all if no VM is live
    /// there.
    fn eligible_domains(&self, regions: &RegionSet) -> Vec<&DomainName> {
        let domains = || self.domains.iter();
        let allowed = domains().filter(|domain| regions.allows(self.regions.get(*domain)));
        let allowed: Vec<&DomainName> = allowed.collect();
        if allowed.is_empty() {
            domains().collect()
        } else {
            allowed
        }
    }

    /// Whether the VMs of the local domain may hold a job that is limited to `regions`.
    #[must_use]
    pub fn may_hold(&self, regions: &RegionSet) -> bool {
        regions.is_everywhere() || self.eligible_domains(regions).contains(&&self.domain)
    }

    /// Number of VMs that reassign `job` before `local_owner` does. `None` if `local_owner` never does.
    ///
    /// The order begins with the responsible VM, then goes through the readers and the other members of all domains, one of
    /// each domain that is eligible for `regions` in turn. All VMs with the same view of the fleet derive the same order.
    fn takeover_rank(
        &self,
        job: &JobId,
        local_owner: &JobOwner,
        regions: &RegionSet,
    ) -> Option<usize> {
        let key = key_of(job);
        let eligible = self.eligible_domains(regions);
        let domains = eligible.iter().map(|domain| domain.as_str());
        let domain_rank = rank_of(domains, &self.domain, key)?;
        let local_vm = local_owner.vm.as_str();
        let readers = || self.readers.iter().map(CompactString::as_str);
        let vm_rank = rank_of(readers(), local_vm, key).or_else(|| {
            let members = self.members.iter().map(|member| member.vm.as_str());
            let members = members.filter(|vm| !readers().any(|reader| reader == *vm));
            Some(self.readers.len() + rank_of(members, local_vm, key)?)
        })?;
        Some(vm_rank * eligible.len() + domain_rank)
    }

    /// Selects the VM of the local domain that takes over an orphaned job.
    fn new_owner_of(&self, job: &JobId) -> Option<&JobOwner> {
        let key = key_of(job);
        self.members
            .iter()
            .max_by_key(|member| score(&member.vm, key))
    }

    /// Selects the VM of the local domain that `local_owner` passes a job on to: the next one in the order of the job, so that
    /// several VMs that stop do not pass it back and forth. `None` if there is no other.
    #[must_use]
    pub fn successor_of(&self, job: &JobId, local_owner: &JobOwner) -> Option<&JobOwner> {
        let key = key_of(job);
        let own = score(&local_owner.vm, key);
        let others = self.members.iter().filter(|member| *member != local_owner);
        others.max_by_key(|member| {
            let score = score(&member.vm, key);
            (score < own, score)
        })
    }

    /// Whether `local_owner` reads the change feed for its domain.
    #[must_use]
    pub fn is_reader(&self, local_owner: &JobOwner) -> bool {
        self.readers.contains(&local_owner.vm)
    }
}

/// Position of `name` among `names` in descending order of their scores for `key`. `None` if it is not among them.
fn rank_of<'a>(names: impl Iterator<Item = &'a str>, name: &str, key: u64) -> Option<usize> {
    let own = (score(name, key), name);
    let mut rank = 0;
    let mut is_found = false;
    for other in names {
        is_found |= other == name;
        rank += usize::from((score(other, key), other) > own);
    }
    is_found.then_some(rank)
}
