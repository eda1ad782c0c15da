//! Controllers as processes on loopback, which can be killed, paused and started again.

use rustix::process::{kill_process, Pid, Signal};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What all controllers of a rehearsal share.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Program that controllers run.
    pub program: PathBuf,
    /// File of optional features, if any.
    pub features: Option<PathBuf>,
    /// Folder for settings files.
    pub folder: PathBuf,
    /// State service.
    pub state: SocketAddr,
    /// Cloud.
    pub cloud: SocketAddr,
    /// Command that the program is started under, if any; `{}` is the controller's name.
    pub under: Option<String>,
    /// Workers' lease, seconds.
    pub lease_s: f64,
    /// Time between a worker's reports, seconds.
    pub report_s: f64,
    /// Requests that the state service serves in a second.
    pub state_rps: f64,
    /// Changes that it serves in a second.
    pub state_write_rps: f64,
}

/// Addresses of a controller.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// For users and workers.
    pub bind: SocketAddr,
    /// For the other controllers.
    pub peers: SocketAddr,
}

impl Addresses {
    /// Free addresses for some controllers, in turn of both zones.
    pub fn allot(controllers: usize) -> std::io::Result<Vec<Addresses>> {
        // All are held until all are chosen, so that none is given twice.
        let mut held = Vec::new();
        let mut out = Vec::new();
        for i in 0..controllers {
            let mut free = || {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
                let addr = listener.local_addr()?;
                held.push(listener);
                Ok::<SocketAddr, std::io::Error>(addr)
            };
            out.push(Addresses {
                name: format!("n{i}"),
                zone: ["north", "south"][i % 2].to_string(),
                bind: free()?,
                peers: free()?,
            });
        }
        Ok(out)
    }
}

/// A controller's process, ended when this is dropped.
pub struct Controller {
    addresses: Addresses,
    settings: PathBuf,
    deployment: Deployment,
    child: Option<Child>,
}

impl Controller {
    /// Writes its settings and starts it.
    pub fn start(
        deployment: &Deployment,
        all: &[Addresses],
        at: usize,
    ) -> std::io::Result<Controller> {
        let addresses = all[at].clone();
        let settings = deployment.folder.join(format!("{}.toml", addresses.name));
        std::fs::write(&settings, settings_text(deployment, all, at))?;
        let mut controller = Controller {
            addresses,
            settings,
            deployment: deployment.clone(),
            child: None,
        };
        controller.start_again()?;
        Ok(controller)
    }

    /// Name.
    pub fn name(&self) -> &str {
        &self.addresses.name
    }

    /// Address for users.
    pub fn addr(&self) -> SocketAddr {
        self.addresses.bind
    }

    /// Starts a process if none runs.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = self.deployment.folder.join(format!("{}.log", self.name()));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let under = self.deployment.under.clone().unwrap_or_default();
        let under = under.replace("{}", self.name());
        let mut words = under.split_whitespace();
        let mut command = match words.next() {
            Some(first) => {
                let mut command = Command::new(first);
                command.args(words).arg(&self.deployment.program);
                command
            }
            None => Command::new(&self.deployment.program),
        };
        command.arg("--config").arg(&self.settings);
        if let Some(features) = &self.deployment.features {
            command.arg("--features").arg(features);
        }
        let level = std::env::var("LOG_LEVEL").unwrap_or("info".to_string());
        command.env("LOG_LEVEL", level).stderr(Stdio::from(log));
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the process without any notice.
    pub fn kill(&mut self) -> std::io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// The program's own process, below whatever it was started under.
    pub fn program_pid(&self) -> Option<u32> {
        let pid = self.child.as_ref()?.id();
        let children = format!("/proc/{pid}/task/{pid}/children");
        let below = std::fs::read_to_string(children).unwrap_or_default();
        let below = below.split_whitespace().next().and_then(|p| p.parse().ok());
        Some(below.unwrap_or(pid))
    }

    /// Ends the program and waits for what it was started under, which writes its figures then.
    pub fn end(&mut self) -> std::io::Result<()> {
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

    /// Lets the process stand still.
    pub fn pause(&self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets the process go on.
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

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn settings_text(deployment: &Deployment, all: &[Addresses], at: usize) -> String {
    let me = &all[at];
    let others = all.iter().filter(|a| a.name != me.name);
    let siblings: String = others
        .map(|a| {
            format!(
                "[[siblings]]\nnode = \"{}\"\ndomain = \"{}\"\naddr = \"{}\"\n",
                a.name, a.zone, a.peers
            )
        })
        .collect();
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
        me.name,
        me.zone,
        me.bind,
        me.peers,
        deployment.cloud,
        deployment.state,
        all.len(),
        deployment.report_s,
        deployment.lease_s,
        deployment.state_rps,
        deployment.state_write_rps
    )
}

/// A folder of its own for a rehearsal.
pub fn own_folder(name: &str) -> std::io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("pointhook-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Removes a rehearsal's folder.
pub fn remove_folder(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
