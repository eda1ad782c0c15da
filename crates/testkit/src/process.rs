//! Controller processes on loopback that can be killed, paused and restarted.

use crate::network::ControllerEndpoint;

use rustix::process::{kill_process, Pid, Signal};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Zones of the deployment; controllers are assigned to them in turn.
const ZONES: [&str; 2] = ["north", "south"];

/// Program, addresses and settings that all controllers of a deployment share.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Path of the controller program.
    pub program: PathBuf,
    /// Path of the features file; without it, all optional features are off.
    pub features: Option<PathBuf>,
    /// Directory for the controllers' settings files and logs.
    pub work_dir: PathBuf,
    /// Address of the key-value store.
    pub kv_addr: SocketAddr,
    /// Address of the cloud.
    pub cloud_addr: SocketAddr,
    /// Command that runs the program, such as a profiler; `{}` stands for the controller's name.
    pub wrapper_command: Option<String>,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Time between a worker's heartbeats, in seconds.
    pub heartbeat_interval_s: f64,
    /// Time within which the tasks of a cancelled job have to be gone, in seconds.
    pub cancel_s: f64,
    /// Request limit of the key-value store in the settings, in requests per second.
    pub kv_requests_per_s: f64,
    /// Write limit of the key-value store in the settings, in writes per second.
    pub kv_writes_per_s: f64,
}

/// Name, zone and addresses of a controller.
#[derive(Clone, Debug)]
pub struct ControllerAddresses {
    /// Name of the controller.
    pub name: String,
    /// Zone of the controller.
    pub zone: String,
    /// Address on which it listens for users and workers.
    pub client_addr: SocketAddr,
    /// Address on which it listens for the other controllers.
    pub peer_addr: SocketAddr,
}

impl ControllerAddresses {
    /// Allocates free loopback ports for the given number of controllers, spread over the zones.
    pub fn allocate(controllers: usize) -> std::io::Result<Vec<ControllerAddresses>> {
        // Every listener stays open until all ports are chosen, so that no port is chosen twice.
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
                client_addr: free_addr()?,
                peer_addr: free_addr()?,
            });
        }
        Ok(allocated)
    }

    /// Name and address under which workers reach the controller.
    pub fn endpoint(&self) -> ControllerEndpoint {
        ControllerEndpoint {
            name: self.name.clone(),
            addr: self.client_addr,
        }
    }
}

/// Handle of a controller process, which is killed when the handle is dropped. If a wrapper command
/// is set, the wrapper is the process that is killed, paused and resumed.
pub struct ControllerProcess {
    addresses: ControllerAddresses,
    settings: PathBuf,
    deployment: Deployment,
    child: Option<Child>,
}

impl ControllerProcess {
    /// Writes the settings file of the controller at an index of `controllers` and starts it.
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

    /// Address on which the controller listens for users.
    pub fn addr(&self) -> SocketAddr {
        self.addresses.client_addr
    }

    /// Starts the process unless it was started and not killed since; its log is appended to.
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

    /// Command that runs the program, through the wrapper command if one is set.
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

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) -> std::io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Process id of the program itself, which is a child process of the wrapper if one is set;
    /// `None` if no process was started.
    pub fn program_pid(&self) -> Option<u32> {
        let pid = self.child.as_ref()?.id();
        let children_file = format!("/proc/{pid}/task/{pid}/children");
        let children = std::fs::read_to_string(children_file).unwrap_or_default();
        let first_child = children.split_whitespace().next();
        let program = first_child.and_then(|child| child.parse().ok());
        Some(program.unwrap_or(pid))
    }

    /// Terminates the program with SIGTERM and waits for its wrapper, which may write its results
    /// after the program has ended.
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

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
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
        // The error is ignored: a process that can't be killed has already ended.
        let _ = self.kill();
    }
}

/// Text of the settings file of the controller at an index.
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
cancel_s = {:.2}
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
        own.client_addr,
        own.peer_addr,
        deployment.cloud_addr,
        deployment.kv_addr,
        controllers.len(),
        deployment.heartbeat_interval_s,
        deployment.lease_s,
        deployment.cancel_s,
        deployment.kv_requests_per_s,
        deployment.kv_writes_per_s
    )
}

/// The `siblings` tables of a controller's settings file, one for each other controller.
fn siblings_text(controllers: &[ControllerAddresses], own: &ControllerAddresses) -> String {
    let others = controllers.iter().filter(|other| other.name != own.name);
    let tables = others.map(|other| {
        format!(
            "[[siblings]]\nnode = \"{}\"\ndomain = \"{}\"\naddr = \"{}\"\n",
            other.name, other.zone, other.peer_addr
        )
    });
    tables.collect()
}

/// Creates a temporary directory for the files of one run.
pub fn create_work_dir(name: &str) -> std::io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("pointhook-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path)?;
    Ok(path)
}

/// Removes the temporary directory of a run.
pub fn remove_work_dir(path: &Path) {
    // Files that can't be removed are left to the system's cleanup of temporary files.
    let _ = std::fs::remove_dir_all(path);
}
