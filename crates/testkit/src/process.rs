//! Controllers as processes on loopback, which can be killed, paused and started again.

use crate::network::ControllerEndpoint;

use rustix::process::{kill_process, Pid, Signal};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Zones of the deployment; controllers are spread over them in turn.
const ZONES: [&str; 2] = ["north", "south"];

/// What all controllers of a deployment share.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Program that controllers run.
    pub program: PathBuf,
    /// File of optional features, if any.
    pub features: Option<PathBuf>,
    /// Directory for settings files and logs.
    pub work_dir: PathBuf,
    /// Address of the key-value store.
    pub kv_addr: SocketAddr,
    /// Address of the cloud.
    pub cloud_addr: SocketAddr,
    /// Command that wraps the program, such as a profiler; `{}` is the controller's name.
    pub wrapper_command: Option<String>,
    /// Workers' lease, seconds.
    pub lease_s: f64,
    /// Time between a worker's heartbeats, seconds.
    pub heartbeat_interval_s: f64,
    /// Requests that the key-value store serves in a second.
    pub kv_requests_per_s: f64,
    /// Writes that the key-value store serves in a second.
    pub kv_writes_per_s: f64,
}

/// Name, zone and addresses of a controller.
#[derive(Clone, Debug)]
pub struct ControllerAddresses {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address for users and workers.
    pub bind: SocketAddr,
    /// Address for the other controllers.
    pub peers: SocketAddr,
}

impl ControllerAddresses {
    /// Free addresses for some controllers, spread over the zones.
    pub fn allocate(controllers: usize) -> std::io::Result<Vec<ControllerAddresses>> {
        // All listeners stay open until all addresses are chosen, so that none is given twice.
        let mut open_listeners = Vec::new();
        let mut allocated = Vec::new();
        for index in 0..controllers {
            let mut free_addr = || {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
                let addr = listener.local_addr()?;
                open_listeners.push(listener);
                Ok::<SocketAddr, std::io::Error>(addr)
            };
            allocated.push(ControllerAddresses {
                name: format!("n{index}"),
                zone: ZONES[index % ZONES.len()].to_string(),
                bind: free_addr()?,
                peers: free_addr()?,
            });
        }
        Ok(allocated)
    }

    /// Where workers reach the controller.
    pub fn endpoint(&self) -> ControllerEndpoint {
        ControllerEndpoint {
            name: self.name.clone(),
            addr: self.bind,
        }
    }
}

/// A controller's process; it is killed when this is dropped.
pub struct ControllerProcess {
    addresses: ControllerAddresses,
    settings: PathBuf,
    deployment: Deployment,
    child: Option<Child>,
}

impl ControllerProcess {
    /// Writes the settings of the controller at this index and starts it.
    pub fn start(
        deployment: &Deployment,
        controllers: &[ControllerAddresses],
        index: usize,
    ) -> std::io::Result<ControllerProcess> {
        let addresses = controllers[index].clone();
        let settings = deployment.work_dir.join(format!("{}.toml", addresses.name));
        std::fs::write(&settings, settings_text(deployment, controllers, index))?;
        let mut process = ControllerProcess {
            addresses,
            settings,
            deployment: deployment.clone(),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Name of the controller.
    pub fn name(&self) -> &str {
        &self.addresses.name
    }

    /// Address for users.
    pub fn addr(&self) -> SocketAddr {
        self.addresses.bind
    }

    /// Starts a process if none runs.
    pub fn restart(&mut self) -> std::io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log_path = self
            .deployment
            .work_dir
            .join(format!("{}.log", self.name()));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log_path)?;
        let mut command = self.program_command();
        command.arg("--config").arg(&self.settings);
        if let Some(features) = &self.deployment.features {
            command.arg("--features").arg(features);
        }
        let level = std::env::var("LOG_LEVEL").unwrap_or("info".to_string());
        command.env("LOG_LEVEL", level).stderr(Stdio::from(log));
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// The program, below its wrapper if there is one.
    fn program_command(&self) -> Command {
        let program = &self.deployment.program;
        let wrapper = self.deployment.wrapper_command.clone().unwrap_or_default();
        let wrapper = wrapper.replace("{}", self.name());
        let mut words = wrapper.split_whitespace();
        let Some(wrapper_program) = words.next() else {
            return Command::new(program);
        };
        let mut command = Command::new(wrapper_program);
        command.args(words).arg(program);
        command
    }

    /// Kills the process without any notice.
    pub fn kill(&mut self) -> std::io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Process id of the program itself, below its wrapper if there is one.
    pub fn program_pid(&self) -> Option<u32> {
        let pid = self.child.as_ref()?.id();
        let children_file = format!("/proc/{pid}/task/{pid}/children");
        let children = std::fs::read_to_string(children_file).unwrap_or_default();
        let first_child = children.split_whitespace().next();
        let program = first_child.and_then(|child| child.parse().ok());
        Some(program.unwrap_or(pid))
    }

    /// Terminates the program and waits for its wrapper, which may write its results then.
    pub fn terminate(&mut self) -> std::io::Result<()> {
        let program = self.program_pid();
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        let program = program.and_then(|pid| Pid::from_raw(pid.try_into().ok()?));
        if let Some(pid) = program {
            kill_process(pid, Signal::TERM)?;
        }
        child.wait()?;
        Ok(())
    }

    /// Pauses the process.
    pub fn pause(&self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process.
    pub fn resume(&self) -> std::io::Result<()> {
        self.signal(Signal::CONT)
    }

    fn signal(&self, signal: Signal) -> std::io::Result<()> {
        let child = self.child.as_ref();
        if let Some(pid) = child.and_then(|c| Pid::from_raw(c.id().try_into().ok()?)) {
            kill_process(pid, signal)?;
        }
        Ok(())
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        // A process that can't be killed any more has ended.
        let _ = self.kill();
    }
}

/// Settings file of one controller.
fn settings_text(
    deployment: &Deployment,
    controllers: &[ControllerAddresses],
    index: usize,
) -> String {
    let own = &controllers[index];
    let siblings = siblings_text(controllers, own);
    format!(
        r#"node = "{}"
domain = "{}"
bind = "{}"
cluster_listen = "{}"
{siblings}
[outside]
cloud = "{}"
state = "{}"
[settings]
nodes = {}
zones = ["north", "south"]
skew_ms = 100.0
[[settings.teams]]
name = "ovens"
[settings.workers]
report_s = {:.2}
lease_s = {:.2}
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 55.0
[settings.state]
rps = {:.1}
write_rps = {:.1}
value_kb = 8.0
txn_ops = 12
[settings.cloud]
rps = 10.0
list_lag_s = 1.0
[settings.machine_limits]
max_connections = 1200
"#,
        own.name,
        own.zone,
        own.bind,
        own.peers,
        deployment.cloud_addr,
        deployment.kv_addr,
        controllers.len(),
        deployment.heartbeat_interval_s,
        deployment.lease_s,
        deployment.kv_requests_per_s,
        deployment.kv_writes_per_s
    )
}

/// The other controllers, as the settings file names them.
fn siblings_text(controllers: &[ControllerAddresses], own: &ControllerAddresses) -> String {
    let others = controllers.iter().filter(|other| other.name != own.name);
    let tables = others.map(|other| {
        format!(
            "[[siblings]]\nnode = \"{}\"\ndomain = \"{}\"\naddr = \"{}\"\n",
            other.name, other.zone, other.peers
        )
    });
    tables.collect()
}

/// Creates a directory for one run.
pub fn create_work_dir(name: &str) -> std::io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("pointhook-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path)?;
    Ok(path)
}

/// Removes the directory of a run.
pub fn remove_work_dir(path: &Path) {
    // What can't be removed stays for the system to clean up.
    let _ = std::fs::remove_dir_all(path);
}
