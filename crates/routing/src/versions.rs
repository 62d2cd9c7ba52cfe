//! Software versions of the targets, and which of them began a stream.
//!
//! What two versions write does not fit together, so a stream goes on only at the version at which it began. For each
//! service the VMs agree on one *base* version through the store. A stream that begins at another version is recorded in
//! the store before its first event is passed on, so one without a record began at the base version. The base version
//! changes only when no stream that began at it can be under way any more.

use plantainmill_core::{ServiceName, Uptime, VersionName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which a view of the targets that was not confirmed says nothing about the present.
const VIEW_VALIDITY: Duration = Duration::from_secs(2);
/// Interval at which the base version is read again while no target has it.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);

/// The base version of a service, as read from the store.
#[derive(Clone, Debug)]
struct BaseView {
    /// Absent if none has been stored yet.
    version: Option<VersionName>,
    /// When the read was sent.
    read_at: Uptime,
}

/// Versions of one service.
#[derive(Debug)]
struct ServiceVersions {
    /// Number of listed targets of each version, including those that drain.
    listed: BTreeMap<VersionName, usize>,
    /// When a target of the version was last listed.
    last_listed: BTreeMap<VersionName, Uptime>,
    /// When the set of listed versions last changed.
    changed_at: Uptime,
    /// When this VM first had a view of the service.
    known_since: Uptime,
    base: Option<BaseView>,
}

impl ServiceVersions {
    fn new(now: Uptime) -> ServiceVersions {
        ServiceVersions {
            listed: BTreeMap::new(),
            last_listed: BTreeMap::new(),
            changed_at: now,
            known_since: now,
            base: None,
        }
    }

    /// The base version, if it was read since the set of versions last changed. Another VM may have changed it before.
    fn confirmed_base(&self) -> Option<&VersionName> {
        let base = self.base.as_ref()?;
        let is_current = base.read_at >= self.changed_at;
        base.version.as_ref().filter(|_| is_current)
    }

    /// The version of most targets.
    fn prevalent(&self) -> Option<&VersionName> {
        let listed = self.listed.iter();
        let prevalent = listed.max_by_key(|(version, count)| (**count, *version));
        prevalent.map(|(version, _)| version)
    }
}

/// What a VM knows about the software versions of all services.
#[derive(Debug)]
pub struct VersionLedger {
    services: BTreeMap<ServiceName, ServiceVersions>,
    /// Longest time for which a stream can be under way, and for which versions are remembered.
    retention: Duration,
    updated_at: Option<Uptime>,
    /// When the store last failed this VM. Streams may have begun without a record since.
    store_failed_at: Option<Uptime>,
}

impl VersionLedger {
    /// A ledger without targets. No stream may be under way for longer than `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> VersionLedger {
        VersionLedger {
            services: BTreeMap::new(),
            retention,
            updated_at: None,
            store_failed_at: None,
        }
    }

    /// Changes the longest time for which a stream can be under way.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Replaces the listed targets, given by service and version, with those that the registry had at `now`. Views that are older
    /// than the last one are ignored.
    pub fn set_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = (&'a ServiceName, &'a VersionName)>,
        now: Uptime,
    ) {
        if !self.begin_view(now) {
            return;
        }
        let mut listed: BTreeMap<ServiceName, BTreeMap<VersionName, usize>> = BTreeMap::new();
        for (service, version) in targets {
            let versions = listed.entry(service.clone()).or_default();
            *versions.entry(version.clone()).or_default() += 1;
        }
        for service in listed.keys() {
            let known = self.services.entry(service.clone());
            known.or_insert_with(|| ServiceVersions::new(now));
        }
        for (service, known) in &mut self.services {
            let listed = listed.remove(service).unwrap_or_default();
            if listed.keys().ne(known.listed.keys()) {
                known.changed_at = now;
            }
            for version in listed.keys() {
                known.last_listed.insert(version.clone(), now);
            }
            known.listed = listed;
        }
        self.forget_versions(now);
    }

    /// Records that there is a view of the targets as of `now`. Returns false if a more recent one is known.
    fn begin_view(&mut self, now: Uptime) -> bool {
        if self.updated_at.is_some_and(|updated_at| now < updated_at) {
            return false;
        }
        let has_gap = self
            .updated_at
            .is_some_and(|updated_at| now.saturating_sub(updated_at) >= VIEW_VALIDITY);
        if has_gap {
            // Versions may have come and gone unseen.
            for known in self.services.values_mut() {
                known.known_since = now;
                known.changed_at = now;
            }
        }
        self.updated_at = Some(now);
        true
    }

    /// Forgets the versions that no stream under way can have.
    fn forget_versions(&mut self, now: Uptime) {
        let retention = self.retention;
        self.services.retain(|_, known| {
            known
                .last_listed
                .retain(|_, last_listed| now.saturating_sub(*last_listed) < retention);
            !known.last_listed.is_empty() || !known.listed.is_empty()
        });
    }

    /// Records that the registry still had the listed targets at `now`.
    pub fn confirm_targets(&mut self, now: Uptime) {
        if !self.begin_view(now) {
            return;
        }
        for known in self.services.values_mut() {
            for version in known.listed.keys() {
                if let Some(last_listed) = known.last_listed.get_mut(version) {
                    *last_listed = now;
                }
            }
        }
        self.forget_versions(now);
    }

    /// Records the base version of a service, or that none is stored, as read from the store at `read_at`.
    pub fn confirm_base(
        &mut self,
        service: &ServiceName,
        version: Option<VersionName>,
        read_at: Uptime,
    ) {
        if let Some(known) = self.services.get_mut(service) {
            known.base = Some(BaseView { version, read_at });
        }
    }

    /// Records that a base version could not be read, or a stream not be recorded.
    pub fn record_store_failure(&mut self, now: Uptime) {
        self.store_failed_at = Some(now);
    }

    /// Whether the base version of any service has to be read.
    #[must_use]
    pub fn needs_read(&self, now: Uptime) -> bool {
        self.services.values().any(|known| {
            let Some(base) = &known.base else {
                return true;
            };
            let is_listed = base
                .version
                .as_ref()
                .is_some_and(|version| known.listed.contains_key(version));
            let is_due = now.saturating_sub(base.read_at) >= REREAD_INTERVAL;
            base.read_at < known.changed_at || (!is_listed && is_due)
        })
    }

    /// Services with listed targets.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// The version that should become the base version of the service; `None` if it stays. There has to be none yet, or no
    /// stream that began at it may be under way any more, and none that began at another one without a record.
    #[must_use]
    pub fn next_base(&self, service: &ServiceName, now: Uptime) -> Option<VersionName> {
        let known = self.services.get(service)?;
        let base = known.base.as_ref()?;
        if base.read_at < known.changed_at {
            return None;
        }
        if let Some(version) = &base.version {
            // A VM that has not watched for so long cannot know when the version was last in use.
            let has_watched = now.saturating_sub(known.known_since) >= self.retention;
            let has_records = self
                .store_failed_at
                .is_none_or(|failed_at| now.saturating_sub(failed_at) >= self.retention);
            if !has_watched || !has_records || known.last_listed.contains_key(version) {
                return None;
            }
        }
        known.prevalent().cloned()
    }

    /// Whether a stream of the service that begins at `version` has to be recorded.
    #[must_use]
    pub fn needs_record(&self, service: &ServiceName, version: &VersionName) -> bool {
        let known = self.services.get(service);
        let base = known.and_then(ServiceVersions::confirmed_base);
        base != Some(version)
    }

    /// Whether a stream that begins at `version` without a record cannot go on at another one, as far as this VM sees: no
    /// other version is listed, or the base version, for which it would be taken, is not.
    #[must_use]
    pub fn is_unambiguous(&self, service: &ServiceName, version: &VersionName) -> bool {
        let Some(known) = self.services.get(service) else {
            return true;
        };
        let is_sole = known.listed.keys().all(|listed| listed == version);
        let base = known.confirmed_base();
        is_sole || base.is_some_and(|base| !known.listed.contains_key(base))
    }

    /// The base version of the service, if it is known and more than one version is listed.
    #[must_use]
    pub fn preferred(&self, service: &ServiceName) -> Option<VersionName> {
        let known = self.services.get(service)?;
        let base = known.confirmed_base()?;
        let is_listed = known.listed.contains_key(base);
        (is_listed && known.listed.len() > 1).then(|| base.clone())
    }

    /// The base version of the service at `now`, if it is known: it was just read, or the versions that it was read for are still
    /// listed. Otherwise it may have changed unseen.
    #[must_use]
    pub fn base(&self, service: &ServiceName, now: Uptime) -> Option<VersionName> {
        let known = self.services.get(service)?;
        let is_recent = |at: Uptime| now.saturating_sub(at) < VIEW_VALIDITY;
        let was_read = known
            .base
            .as_ref()
            .is_some_and(|base| is_recent(base.read_at));
        let is_current = self.updated_at.is_some_and(is_recent);
        let base = known.confirmed_base().cloned();
        base.filter(|_| was_read || is_current)
    }

    /// Whether this VM has had a view of the registry since `at`.
    #[must_use]
    pub fn is_confirmed_since(&self, at: Uptime) -> bool {
        self.updated_at.is_some_and(|updated_at| updated_at >= at)
    }

    /// The version of every stream of the service that was under way at `at`, if there has been only one. A view from before
    /// says nothing: a version may have joined since, and have begun the stream through another VM.
    #[must_use]
    pub fn sole_version(&self, service: &ServiceName, at: Uptime) -> Option<VersionName> {
        let known = self.services.get(service)?;
        let is_current = self.is_confirmed_since(at);
        let has_watched = at.saturating_sub(known.known_since) >= self.retention;
        let versions: BTreeSet<&VersionName> = known.last_listed.keys().collect();
        let sole = versions.first().filter(|_| versions.len() == 1);
        sole.filter(|_| is_current && has_watched)
            .map(|version| (*version).clone())
    }

    /// Number of services of which several versions were listed within the retention time.
    #[must_use]
    pub fn mixed_count(&self) -> usize {
        let services = self.services.values();
        services.filter(|known| known.last_listed.len() > 1).count()
    }

    /// Versions of each service and the base version, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let services = self.services.iter().map(|(service, known)| {
            let base = known.base.as_ref().and_then(|base| base.version.as_ref());
            let state = serde_json::json!({"listed": known.listed, "base": base});
            (service.to_string(), state)
        });
        serde_json::Value::Object(services.collect())
    }
}
