//! Keeps the limits of targets up to date with the configuration and the members of the fleet.

use bytes::Bytes;
use plantainmill_config::ConfigView;
use plantainmill_core::{DomainName, VmId};
use plantainmill_dispatch::TargetLimits;
use plantainmill_dispatch::limits::LimitedTarget;
use plantainmill_dispatch::notice::{NoticeSource, ReportScope};
use plantainmill_membership::{MemberState, MemberView};
use std::collections::BTreeMap;

/// The limits of targets as a source of notices. Each tick updates the targets and the VMs that share their limits.
pub(crate) struct FleetLimits {
    pub limits: TargetLimits,
    pub config: ConfigView,
    pub members: MemberView,
    pub vm: VmId,
    pub domain: DomainName,
}

impl FleetLimits {
    fn update_targets(&self) {
        let config = self.config.load();
        let targets = config.targets.iter();
        let targets: Vec<LimitedTarget> = targets
            .map(|(id, spec)| LimitedTarget {
                id: id.clone(),
                service: spec.service.clone(),
                domain: spec.domain.clone(),
                // The configuration names no regions in which requests may be served.
                region: None,
            })
            .collect();
        self.limits.set_targets(targets.into_iter());
    }

    fn update_members(&self) {
        let mut members: BTreeMap<DomainName, Vec<VmId>> = BTreeMap::new();
        let own = members.entry(self.domain.clone()).or_default();
        own.push(self.vm.clone());
        let known = self.members.load();
        let live = known
            .iter()
            .filter(|member| !matches!(member.state, MemberState::Dead | MemberState::Leaving));
        for member in live {
            let vms = members.entry(member.peer.domain.clone()).or_default();
            vms.push(member.peer.id.clone());
        }
        self.limits.set_members(members);
    }
}

impl NoticeSource for FleetLimits {
    fn tick(&self) {
        self.update_targets();
        self.update_members();
        self.limits.tick();
    }

    fn has_news(&self, scope: ReportScope) -> bool {
        self.limits.has_news(scope)
    }

    fn notice(&self, scope: ReportScope) -> Option<Bytes> {
        self.limits.notice(scope)
    }

    fn record_notice(&self, content: &[u8]) -> bool {
        self.limits.record_notice(content)
    }
}
