//! A site for tests: stand-ins run in the test's process, two entries and one agent per endpoint
//! as separate processes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use adapters::{ClientSettings, LogClient, Request, Vm, VmRole, VmState};
use bytes::Bytes;
use control::{
    CheckedConfig, PublishSettings, Published, check_file, is_active, publish, read_history,
    statuses,
};
use derive::value;
use standins::engine::{EngineSettings, Fencing, Speeds};
use standins::log::LogSettings;
use standins::scorer::ScorerSettings;
use standins::service::ServiceSettings;
use standins::store::StoreSettings;
use standins::vms::{VmsChange, VmsSettings};
use standins::{Handle, engine, log, scorer, service, store, vms};
use tokio::sync::{Semaphore, SemaphorePermit};
use types::{FailureDomain, Region};

use crate::status::{active_replicas, exchange, status_page};
use crate::test_request::document_text;
use crate::{Caller, Child, Pending, ProofError, Relay, TestRequest, free_port, wait_until};

const ENTRY: &str = "hornbeamrock-entry";
const AGENT: &str = "hornbeamrock-agent";
const DOMAINS: [&str; 3] = ["rennes-a", "brest-b", "vannes-c"];
const REGION: &str = "bretagne";
const STARTS_MAX: u32 = 5;
/// Limits the sites that run at the same time, as each case of a table starts several processes.
static SITES: Semaphore = Semaphore::const_new(6);
static SITE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Number and behaviour of the parts of a site.
#[value]
pub struct SiteSettings {
    /// Number of plain services in the pool `guichet`.
    pub services: usize,
    /// Duration of a call at a plain service.
    pub service_ms: u64,
    /// Number of engines in the pool `redacteurs`.
    pub engines: usize,
    /// Factor on the engines' durations, in thousandths; larger is slower.
    pub scale_permille: u32,
    /// Whether the engines check fencing tokens.
    pub fencing: bool,
    /// Whether an agent for the scorer is started.
    pub has_scorer: bool,
    /// How long an entry or agent that leaves still accepts new work.
    pub settle_ms: u64,
    /// Whether agents reach their endpoints through relays, whose connections tests can break.
    pub has_relays: bool,
    /// Log level of the processes.
    pub log_level: &'static str,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            services: 2,
            service_ms: 0,
            engines: 0,
            scale_permille: 300,
            fencing: true,
            has_scorer: false,
            settle_ms: 300,
            has_relays: false,
            log_level: "info",
        }
    }
}

/// An entry or agent process with its addresses.
pub struct Process {
    /// Handle of the process, which may have been killed.
    pub child: Child,
    /// Public address of an entry; for an agent the address at which it reaches its endpoint.
    pub address: SocketAddr,
    /// Address for entries and agents.
    pub inner: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    name: &'static str,
    args: Vec<String>,
    vm: Vm,
}

/// A running site; dropping it ends its processes and stand-ins.
pub struct Site {
    /// Stand-in of the log service.
    pub log: Handle,
    /// Stand-in of the platform's VM list.
    pub vms: Handle,
    /// Stand-in of the weight store.
    pub store: Handle,
    /// Stand-in of the scorer, which always runs but has an agent only with `has_scorer`.
    pub scorer: Handle,
    /// Stand-ins of plain services.
    pub services: Vec<Handle>,
    /// Stand-ins of engines.
    pub engines: Vec<Handle>,
    /// Relays in front of the services, then of the engines; empty without `has_relays`.
    pub relays: Vec<Relay>,
    /// Two entries, and those started with [`Site::add_entry`].
    pub entries: Vec<Process>,
    /// Agents of the plain services, then of the engines, then of the scorer.
    pub agents: Vec<Process>,
    settings: SiteSettings,
    folder: PathBuf,
    _permit: SemaphorePermit<'static>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Path of the example configuration of the customer `office`.
pub fn office_config() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/office.toml")
}

impl Site {
    /// Starts a site and waits until the example configuration is active in all processes and the
    /// entries know every replica.
    pub async fn start(settings: SiteSettings) -> Result<Site, ProofError> {
        let mut site = Site::start_standins(settings).await?;
        for _ in 0..2 {
            site.add_entry().await?;
        }
        site.add_agents().await?;
        let published = site.publish(&office_config()).await?;
        site.wait_until_active(&published).await?;
        site.wait_until_replicas_known().await?;
        Ok(site)
    }

    /// Starts the stand-ins of a site without any entry or agent.
    async fn start_standins(settings: SiteSettings) -> Result<Site, ProofError> {
        let permit = SITES.acquire().await;
        let permit = permit.map_err(|_| ProofError::Ended("the semaphore of sites".to_owned()))?;
        let number = SITE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("hornbeamrock-proof-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("key"), "5a".repeat(32))?;
        let store = store::start(StoreSettings::new(any_port())).await?;
        let mut services = Vec::new();
        for _ in 0..settings.services {
            let service_settings = ServiceSettings {
                service_ms: settings.service_ms,
                ..ServiceSettings::new(any_port(), "guichet")
            };
            services.push(service::start(service_settings).await?);
        }
        let mut engines = Vec::new();
        for _ in 0..settings.engines {
            engines.push(engine::start(engine_settings(&settings, store.address)).await?);
        }
        Ok(Site {
            log: log::start(LogSettings::new(any_port())).await?,
            vms: vms::start(VmsSettings::new(any_port())).await?,
            scorer: scorer::start(ScorerSettings::new(any_port())).await?,
            store,
            services,
            engines,
            relays: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            settings,
            folder,
            _permit: permit,
        })
    }

    /// Starts one more entry.
    pub async fn add_entry(&mut self) -> Result<(), ProofError> {
        let index = self.entries.len();
        let entry = self
            .process(ENTRY, index, |address| ("--listen", address, Vec::new()))
            .await?;
        self.entries.push(entry);
        Ok(())
    }

    async fn add_agents(&mut self) -> Result<(), ProofError> {
        let plain = self
            .services
            .iter()
            .map(|service| (service.address, "plain", "guichet"));
        let models = self
            .engines
            .iter()
            .map(|engine| (engine.address, "model", "redacteurs"));
        let mut endpoints: Vec<_> = plain.chain(models).collect();
        if self.settings.has_relays {
            for (address, ..) in &mut endpoints {
                let relay = Relay::start(*address).await?;
                *address = relay.address;
                self.relays.push(relay);
            }
        }
        let scorer = (self.scorer.address, "plain", "notation");
        endpoints.extend(self.settings.has_scorer.then_some(scorer));
        for (index, endpoint) in endpoints.into_iter().enumerate() {
            let agent = self.agent(index, endpoint).await?;
            self.agents.push(agent);
        }
        Ok(())
    }

    async fn agent(
        &self,
        index: usize,
        (endpoint, kind, pool): (SocketAddr, &str, &str),
    ) -> Result<Process, ProofError> {
        let checked = self.settings.fencing && kind == "model";
        let fencing = if checked { "checked" } else { "ignored" };
        let own_args = [
            "--endpoint-kind",
            kind,
            "--pool",
            pool,
            "--customers",
            "office",
            "--fencing",
            fencing,
        ];
        let own_args: Vec<String> = own_args.iter().map(ToString::to_string).collect();
        self.process(AGENT, index, |_| ("--endpoint", endpoint, own_args.clone()))
            .await
    }

    async fn process(
        &self,
        name: &'static str,
        index: usize,
        own_args: impl Fn(SocketAddr) -> (&'static str, SocketAddr, Vec<String>),
    ) -> Result<Process, ProofError> {
        for _ in 0..STARTS_MAX {
            let (inner, admin) = (free_port()?, free_port()?);
            let (flag, address, extra_args) = own_args(free_port()?);
            let domain = DOMAINS[index % DOMAINS.len()];
            let mut args = self.common_args(inner, admin, domain);
            args.extend([flag.to_owned(), address.to_string()]);
            args.extend(extra_args);
            let mut child =
                Child::start(name, &args, &self.folder.join(format!("{name}-{index}")))?;
            if wait_until_live(&mut child, admin).await {
                let role = if name == ENTRY {
                    VmRole::Entry
                } else {
                    VmRole::Agent
                };
                let vm = vm(inner, role, domain)?;
                let process = Process {
                    child,
                    address,
                    inner,
                    admin,
                    name,
                    args,
                    vm,
                };
                self.set_vm_state(&process, VmState::Live).await?;
                return Ok(process);
            }
        }
        let log = std::fs::read_to_string(self.folder.join(format!("{name}-{index}")))?;
        let last = log.lines().last().unwrap_or_default();
        Err(ProofError::Ended(format!(
            "{name} at its start, last log line {last:?},"
        )))
    }

    fn common_args(&self, inner: SocketAddr, admin: SocketAddr, domain: &str) -> Vec<String> {
        let values = [
            ("--inner-listen", inner.to_string()),
            ("--admin-listen", admin.to_string()),
            ("--log", self.log.address.to_string()),
            ("--vm-list", self.vms.address.to_string()),
            ("--failure-domain", domain.to_owned()),
            ("--region", REGION.to_owned()),
            ("--key-file", self.folder.join("key").display().to_string()),
            ("--settle-ms", self.settings.settle_ms.to_string()),
            ("--log-level", self.settings.log_level.to_owned()),
        ];
        values
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect()
    }

    /// Starts a new process with the arguments of one that ended, as when a VM is replaced.
    pub async fn restart(
        &mut self,
        which: impl Fn(&mut Site) -> &mut Process,
    ) -> Result<(), ProofError> {
        let folder = self.folder.clone();
        let process = which(self);
        process.child = Child::start(process.name, &process.args, &folder.join("replaced"))?;
        match wait_until_live(&mut process.child, process.admin).await {
            true => Ok(()),
            false => Err(ProofError::Ended(process.name.to_owned())),
        }
    }

    /// Adds the VM of a process to the VM list, or changes its state there.
    pub async fn set_vm_state(&self, process: &Process, state: VmState) -> Result<(), ProofError> {
        let change = VmsChange {
            set: vec![Vm {
                state,
                ..process.vm.clone()
            }],
            remove: Vec::new(),
        };
        let body = Bytes::from(serde_json::to_vec(&change)?);
        exchange(
            self.vms.address,
            Request {
                body,
                ..Request::new("POST", "/standin/vms")
            },
        )
        .await?;
        Ok(())
    }

    /// Admin addresses of all entries, then of all agents.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .chain(&self.agents)
            .map(|process| process.admin)
            .collect()
    }

    /// Creates a client of the log.
    pub fn log_client(&self) -> LogClient {
        LogClient::new(self.log.address, &ClientSettings::default())
    }

    /// Publishes a configuration file in the way of the operator's tool.
    pub async fn publish(&self, path: &std::path::Path) -> Result<Published, ProofError> {
        let log = self.log_client();
        let mut history = read_history(&log).await?;
        let checked: CheckedConfig = check_file(path, Some(&history.ledger))?;
        let settings = PublishSettings {
            base: None,
            id: None,
        };
        Ok(publish(&log, &mut history, &checked, &settings, |_| {}).await?)
    }

    /// Writes a copy of the example configuration in which the first `from` is replaced by `to`,
    /// and returns its path.
    pub fn changed_text(&self, name: &str, from: &str, to: &str) -> Result<PathBuf, ProofError> {
        let text = std::fs::read_to_string(office_config())?;
        let path = self.folder.join(name);
        std::fs::write(&path, text.replacen(from, to, 1))?;
        Ok(path)
    }

    /// Waits until a published version is active in every process.
    pub async fn wait_until_active(&self, published: &Published) -> Result<(), ProofError> {
        let admins = self.admin_addresses();
        wait_until("the configuration active in every process", async || {
            let replies = statuses(&admins).await;
            let is_behind = |reply| !is_active(reply, &published.customer, published.version);
            (!replies.iter().any(is_behind)).then_some(())
        })
        .await
    }

    /// Waits until every entry lists every endpoint as a replica.
    pub async fn wait_until_replicas_known(&self) -> Result<(), ProofError> {
        let mut wanted = vec![
            ("guichet", self.services.len()),
            ("redacteurs", self.engines.len()),
        ];
        wanted.push(("notation", usize::from(self.settings.has_scorer)));
        for entry in &self.entries {
            for (service, count) in &wanted {
                let expected_event = format!("{count} replicas of {service}");
                wait_until(&expected_event, async || {
                    let known_count =
                        active_replicas(&status_page(entry.admin).await.ok()?, service).len();
                    (known_count >= *count).then_some(())
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Sends a request to an entry; `text` is the text that a complete completion must have.
    pub fn send(&self, entry: usize, test_request: &TestRequest, text: &str) -> Pending {
        Caller::new(self.entries[entry].address).send(test_request.clone(), text.to_owned())
    }

    /// Text that an engine generates for a request when it is called directly; empty for a plain
    /// call.
    pub async fn expected_text(&self, test_request: &TestRequest) -> Result<String, ProofError> {
        if !test_request.kind.is_completion() {
            return Ok(String::new());
        }
        let direct = TestRequest::new(crate::RequestKind::Opinion, test_request.tag.clone());
        let request = Request {
            body: direct.body(),
            ..Request::new("POST", "/v1/completions")
        };
        // The engine may be down after an injected crash.
        let body = wait_until("the text of an engine", async || {
            exchange(self.engines[0].address, request.clone())
                .await
                .ok()
        })
        .await?;
        document_text(&body).ok_or_else(|| ProofError::NotFound("the text of an engine".to_owned()))
    }

    /// Number of times that plain services ran the request with this tag.
    pub async fn run_count(&self, tag: &str) -> Result<u64, ProofError> {
        let mut runs = 0;
        for service in &self.services {
            // The service may be down after an injected crash, but keeps its counts.
            let body = wait_until("the runs of a service", async || {
                let request = Request::new("GET", "/standin/runs");
                exchange(service.address, request).await.ok()
            })
            .await?;
            let by_tag: BTreeMap<String, u64> = serde_json::from_slice(&body)?;
            runs += by_tag.get(tag).unwrap_or(&0);
        }
        Ok(runs)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        // The folder stays if the test failed, so that the processes' logs can be read.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn engine_settings(settings: &SiteSettings, store: SocketAddr) -> EngineSettings {
    EngineSettings {
        fencing: if settings.fencing {
            Fencing::Checked
        } else {
            Fencing::Ignored
        },
        store: Some(store),
        speeds: Speeds {
            scale_permille: settings.scale_permille,
            ..Speeds::default()
        },
        tokens_min: 24,
        ..EngineSettings::new(any_port(), "redacteurs")
    }
}

fn vm(address: SocketAddr, role: VmRole, domain: &str) -> Result<Vm, ProofError> {
    let invalid = |_| ProofError::NotFound(format!("a name in {domain}"));
    Ok(Vm {
        address,
        role,
        failure_domain: FailureDomain::new(domain).map_err(invalid)?,
        region: Region::new(REGION).map_err(invalid)?,
        state: VmState::Live,
    })
}

/// Waits until a process answers; false if it ended before.
async fn wait_until_live(child: &mut Child, admin: SocketAddr) -> bool {
    let answered = wait_until("a process that lives", async || {
        if !child.is_running() {
            return Some(false);
        }
        let answered = exchange(admin, Request::new("GET", "/livez")).await;
        // The answer may be from another process that bound the port before this one.
        answered.is_ok().then(|| child.is_running())
    });
    answered.await.unwrap_or(false)
}
