//! Starts, drives and stops a fleet on loopback.

use crate::client::OperatorClient;
use crate::options::{DevOptions, DevReady};
use crate::seed;
use crate::targets::{self, DOMAINS, DevTarget, REGION};
use actix_rt::Arbiter;
use anyhow::Context as _;
use awc::http::Method;
use compact_str::{CompactString, format_compact};
use plantainmill_core::secret::{hash_secret, new_secret};
use plantainmill_fakes::{MemoryPlatform, PlatformOptions, PlatformServer, RunningPlatform};
use plantainmill_node::Node;
use plantainmill_provider::{VmEntry, VmState};
use plantainmill_settings::{
    LimitSettings, ListenSettings, NodeSettings, OperatorKey, PlatformSettings, VmSettings,
};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait until all VMs are ready and hold the same configuration.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time between looks at the VMs while they start.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Calls of the stand-in platform per second. One process plays a whole fleet, so they are generous.
const PLATFORM_CALLS_PER_S: u32 = 20_000;

/// A VM on a thread of its own, so that it can be lost without ending the others.
struct VmThread {
    node: Node,
    arbiter: Arbiter,
}

impl VmThread {
    async fn start(settings: NodeSettings) -> anyhow::Result<VmThread> {
        let arbiter = Arbiter::new();
        let (sender, receiver) = oneshot::channel();
        arbiter.spawn(async move {
            let _ = sender.send(Node::start(settings));
        });
        let node = receiver.await.context("the VM's thread ended")??;
        Ok(VmThread { node, arbiter })
    }

    async fn stop(self) -> usize {
        let report = self.node.stop().await;
        self.arbiter.stop();
        report.aborted_requests
    }

    async fn kill(self) {
        self.node.abort().await;
        self.arbiter.stop();
    }
}

/// A running fleet.
pub struct DevFleet {
    nodes: Vec<Option<VmThread>>,
    targets: Vec<DevTarget>,
    platform: RunningPlatform,
    ready: DevReady,
}

impl DevFleet {
    /// Starts platform, targets and VMs, applies the configuration and waits until all VMs are ready.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be opened, the fleet file is refused, or the VMs do not become ready.
    pub async fn start(options: DevOptions) -> anyhow::Result<DevFleet> {
        let platform_options = PlatformOptions {
            writes_per_s: PLATFORM_CALLS_PER_S,
            reads_per_s: PLATFORM_CALLS_PER_S,
            ..PlatformOptions::default()
        };
        let platform = PlatformServer::start(&platform_options, MemoryPlatform::default())?;
        let targets = targets::start(options.engines, options.decode_per_token)?;
        let operator_key = new_secret("op-");
        let fleet_secret = new_secret("fleet-");
        let mut nodes = Vec::new();
        let mut entries = Vec::new();
        for index in 0..options.vms {
            let settings = node_settings(index, &options, &platform, &operator_key, &fleet_secret);
            let vm = settings.vm.clone();
            let thread = VmThread::start(settings).await?;
            entries.push(vm_entry(&vm, &thread.node));
            nodes.push(Some(thread));
        }
        platform.memory.set_vms(entries);
        let mut fleet = DevFleet {
            ready: ready_line(&nodes, &operator_key, &platform, &targets),
            nodes,
            targets,
            platform,
        };
        if options.vms > 0 {
            fleet.configure(options.fleet_file.as_deref()).await?;
        }
        Ok(fleet)
    }

    /// Applies the configuration, issues one key per organisation and waits for all VMs.
    async fn configure(&mut self, extra: Option<&str>) -> anyhow::Result<()> {
        let waited = actix_rt::time::timeout(READY_LIMIT, self.wait_ready()).await;
        waited.context("the VMs did not become ready")?;
        let client = OperatorClient::new(&self.ready.operators[0], &self.ready.operator_key);
        let text = seed::fleet_file(&self.targets, extra);
        let body = json!({"file": "dev.toml", "toml": text, "reason": "development fleet"});
        let applied = client.expect(Method::POST, "/admin/v1/apply", Some(&body));
        applied.await?;
        let config = client.expect(Method::GET, "/admin/v1/config", None).await?;
        let organisations = config["organisations"].as_object();
        let names: Vec<String> = organisations
            .map(|found| found.keys().cloned().collect())
            .unwrap_or_default();
        for name in names {
            let (_, secret) = client.issue_key(&name).await?;
            self.ready.organisations.insert(name.into(), secret);
        }
        let waited = actix_rt::time::timeout(READY_LIMIT, self.wait_same_version()).await;
        waited.context("the VMs did not reach the same configuration")?
    }

    async fn wait_ready(&self) {
        for thread in self.nodes.iter().flatten() {
            thread.node.wait_ready().await;
        }
    }

    async fn wait_same_version(&self) -> anyhow::Result<()> {
        let mut wanted = 0;
        for base in &self.ready.operators {
            let client = OperatorClient::new(base, &self.ready.operator_key);
            loop {
                let config = client.expect(Method::GET, "/admin/v1/config", None).await?;
                let version = config["version"].as_u64().unwrap_or(0);
                wanted = wanted.max(version);
                if version >= wanted {
                    break;
                }
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// How to call the fleet.
    #[must_use]
    pub fn ready(&self) -> &DevReady {
        &self.ready
    }

    /// The platform behind the fleet, for faults and counts.
    #[must_use]
    pub fn platform(&self) -> &MemoryPlatform {
        &self.platform.memory
    }

    /// All requests that targets ran, each as one text with its headers.
    #[must_use]
    pub fn recorded(&self) -> Vec<String> {
        let targets = self.targets.iter();
        let requests = targets.flat_map(|target| target.server.recorded());
        requests.map(|request| format!("{request:?}")).collect()
    }

    /// Stops VM `index` gracefully and gives the number of requests that were cut.
    pub async fn stop_vm(&mut self, index: usize) -> usize {
        match self.nodes[index].take() {
            Some(thread) => thread.stop().await,
            None => 0,
        }
    }

    /// Stops VM `index` at once, as a loss of the VM would: nothing is released or handed over.
    pub async fn kill_vm(&mut self, index: usize) {
        if let Some(thread) = self.nodes[index].take() {
            thread.kill().await;
        }
    }

    /// Stops all VMs gracefully, then the stand-ins; gives the number of requests that were cut.
    pub async fn stop(self) -> usize {
        let stops = self.nodes.into_iter().flatten().map(VmThread::stop);
        let cut = futures_util::future::join_all(stops).await;
        for target in self.targets {
            target.server.stop().await;
        }
        self.platform.stop().await;
        cut.iter().sum()
    }

    /// State of every VM, by VM.
    ///
    /// # Errors
    ///
    /// Fails when a VM does not answer.
    pub async fn dumps(&self) -> anyhow::Result<Vec<Value>> {
        let mut dumps = Vec::new();
        for base in &self.ready.operators {
            let client = OperatorClient::new(base, &self.ready.operator_key);
            dumps.push(client.expect(Method::GET, "/admin/v1/state", None).await?);
        }
        Ok(dumps)
    }
}

fn ready_line(
    nodes: &[Option<VmThread>],
    operator_key: &str,
    platform: &RunningPlatform,
    targets: &[DevTarget],
) -> DevReady {
    let threads = nodes.iter().flatten();
    let (callers, operators) = threads
        .map(|thread| {
            let each = thread.node.addresses();
            let callers = format!("http://{}", each.callers);
            (callers, format!("http://{}", each.operators))
        })
        .unzip();
    DevReady {
        callers,
        operators,
        organisations: BTreeMap::new(),
        operator_key: operator_key.to_owned(),
        platform: platform.url(),
        targets: target_urls(targets),
        fleet_file: seed::fleet_file(targets, None),
    }
}

fn target_urls(targets: &[DevTarget]) -> BTreeMap<CompactString, String> {
    let entries = targets.iter();
    entries
        .map(|target| (target.id.clone(), format!("http://{}", target.address)))
        .collect()
}

fn node_settings(
    index: usize,
    options: &DevOptions,
    platform: &RunningPlatform,
    operator_key: &str,
    fleet_secret: &str,
) -> NodeSettings {
    NodeSettings {
        vm: VmSettings {
            id: format_compact!("vm-{}", index + 1),
            region: REGION.into(),
            domain: DOMAINS[index % DOMAINS.len()].into(),
        },
        listen: ListenSettings::loopback(),
        platform: PlatformSettings {
            table: platform.url(),
            objects: platform.url(),
            timeout: Duration::from_secs(3),
        },
        operator_keys: vec![OperatorKey {
            name: "dev".into(),
            hash: hash_secret(operator_key),
        }],
        fleet_secrets: vec![fleet_secret.into()],
        limits: LimitSettings {
            balancer_wait: options.balancer_wait,
            workers: 1,
            ..LimitSettings::default()
        },
    }
}

fn vm_entry(vm: &VmSettings, node: &Node) -> VmEntry {
    VmEntry {
        id: vm.id.clone(),
        domain: vm.domain.clone(),
        region: vm.region.clone(),
        mesh: node.addresses().mesh,
        state: VmState::Live,
    }
}
