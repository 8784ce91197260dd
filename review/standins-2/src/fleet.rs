//! The project's own processes: settings files, start and end.
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["thu-duc", "tan-binh", "binh-tan"];

/// Three machines with a disk, each with a control node and an access node, at loopback addresses of their own.
pub struct Fleet {
    pub controls: Vec<String>,
    pub fronts: Vec<String>,
    readiness: Vec<String>,
    children: Vec<Process>,
    binary: String,
    dir: PathBuf,
}

struct Process {
    name: String,
    machine: usize,
    role: &'static str,
    settings: PathBuf,
    child: Child,
    /// Since when it is down, until the platform starts it again.
    down_since: Option<Instant>,
}

/// `memoryMb` of the settings: the platform kills a process that goes over it.
const MEMORY_MB: u64 = 260;
/// A process that ended is started again after this.
const RESTART_DELAY: Duration = Duration::from_millis(1000);

fn ip(machine: usize) -> String {
    format!("127.0.0.{}", 11 + machine)
}

/// A port that is free at all these addresses, with the `more` ports after it.
fn free_ports(ips: &[String], more: u16) -> Option<u16> {
    let start = 20_000 + (std::process::id() % 20_000) as u16;
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
    (0..400u16).map(|step| start + step * 16).find(|base| (*base..=*base + more).all(is_free))
}

impl Fleet {
    pub fn start(binary: &str, dir: &Path, platform: &str) -> Option<Fleet> {
        let ips: Vec<String> = (0..ZONES.len()).map(ip).collect();
        let base = free_ports(&ips, 10)?;
        let addresses = |port: u16| ips.iter().map(|ip| format!("{ip}:{port}")).collect::<Vec<String>>();
        let (controls, readiness, fronts) = (addresses(base), addresses(base + 1), addresses(base + 2));
        let mut fleet =
            Fleet { controls, fronts, readiness, children: Vec::new(), binary: binary.to_owned(), dir: dir.to_owned() };
        for (machine, zone) in ZONES.iter().enumerate() {
            fleet.add(machine, zone, "control", base + 3, platform)?;
        }
        for (machine, zone) in ZONES.iter().enumerate() {
            fleet.add(machine, zone, "access", base + 3, platform)?;
        }
        Some(fleet)
    }

    fn add(&mut self, at: usize, zone: &str, role: &'static str, ports: u16, platform: &str) -> Option<()> {
        let name = format!("access-{zone}-1");
        let data = self.dir.join(format!("data-{name}"));
        let listen = if role == "control" {
            format!("  control: \"{}\"\n", self.controls[at])
        } else {
            format!("  front: \"{}\"\n  readiness: \"{}\"\n", self.fronts[at], self.readiness[at])
        };
        let data_dir = if role == "control" { format!("dataDir: \"{}\"\n", data.display()) } else { String::new() };
        let seeds: String = self.controls.iter().map(|seed| format!("  - \"{seed}\"\n")).collect();
        let zones: String = ZONES.iter().map(|zone| format!("  {zone}: \"hcm\"\n")).collect();
        let text = format!(
            "nodeName: \"{name}\"\nrole: \"{role}\"\nmachineClass: \"access\"\nservingRoles:\n  - \"{role}\"\nip: \"{}\"\n\
             zone: \"{zone}\"\nregion: \"hcm\"\nzones:\n{zones}listenAddrs:\n{listen}internalPorts:\n  - {ports}\n  - {}\n\
             seeds:\n{seeds}initialStart: true\nquorumMember: true\nlimits:\n  cpuShare: 0.45\n  cores: 1\n  \
             memoryMb: {MEMORY_MB}\n  maxFds: 4200\n  linkMbps: 1000.0\n  diskMb: 64\n{data_dir}discoverySource: \
             \"registration\"\nentryMode: \"virtual_ip\"\nheartbeatMs: 1200\ncontractSet:\n  - \"base\"\n  - \"drain\"\n  \
             - \"config\"\n  - \"cost\"\n  - \"sql\"\n  - \"recover\"\nfaultTolerance:\n  machines: 1\n  zones: 0\n  \
             regions: 0\ntimers:\n  seedLagS: 3\n  reuseHoldS: 2\n  contactMs: 4000\n  ackMs: 5000\n  catchUpS: 4\n  \
             drainMs: 7000\n  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n  downgradeSlackMs: 250\n  \
             stretchMaxMs: 12000\n  recoveryS: 12\n  fencing: true\n  thawSlackMs: 300\nconfig_mode: \"highest\"\n\
             platformApi:\n  address: \"{platform}\"\n  ratePerS: 50.0\n  duties:\n    - \"promotion\"\n  dutyRateS: 50.0\n",
            ip(at),
            ports + 7
        );
        let settings = self.dir.join(format!("{name}-{role}.yaml"));
        std::fs::write(&settings, text).ok()?;
        let child = self.spawn(&name, role, &settings)?;
        self.children.push(Process { name, machine: at, role, settings, child, down_since: None });
        self.write_ids();
        Some(())
    }

    /// Starts a role with the command of the deploy file.
    fn spawn(&self, name: &str, role: &str, settings: &Path) -> Option<Child> {
        let path = self.dir.join(format!("{name}-{role}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(path).ok()?;
        let mut command = Command::new(&self.binary);
        command.arg(role).env("WINDVALVE_BOOT", settings).stdin(Stdio::null());
        command.stdout(log.try_clone().ok()?).stderr(log).spawn().ok()
    }

    /// The ids of all processes, for whoever has to end them if this program is ended.
    fn write_ids(&self) {
        let ids: String = self.children.iter().map(|process| format!("{}\n", process.child.id())).collect();
        let _ = std::fs::write(self.dir.join("processes"), ids);
    }

    /// What the platform does: kills access processes that are over their memory, and starts ended ones again. Returns the
    /// machines whose access process was killed, and how much memory it had.
    pub fn watch_memory(&mut self) -> Vec<(usize, u64)> {
        let mut killed = Vec::new();
        for at in 0..self.children.len() {
            let process = &mut self.children[at];
            if let Some(since) = process.down_since {
                if since.elapsed() >= RESTART_DELAY {
                    let (name, role, settings) = (process.name.clone(), process.role, process.settings.clone());
                    if let Some(child) = self.spawn(&name, role, &settings) {
                        (self.children[at].child, self.children[at].down_since) = (child, None);
                        self.write_ids();
                    }
                }
                continue;
            }
            let megabytes = resident_megabytes(process.child.id());
            if process.role == "access" && megabytes > MEMORY_MB {
                let _ = (process.child.kill(), process.child.wait());
                process.down_since = Some(Instant::now());
                killed.push((process.machine, megabytes));
            }
        }
        killed
    }

    /// Whether every access node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let is_ready =
            |address: &String| crate::http::call(address, "GET", "/readiness", "").is_some_and(|got| got.0 == 200);
        self.readiness.iter().all(is_ready)
    }

    /// The processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = |process: &mut Process| {
            process.down_since.is_none() && process.child.try_wait().is_ok_and(|status| status.is_some())
        };
        let name = |process: &mut Process| ended(process).then(|| format!("{}/{}", process.name, process.role));
        self.children.iter_mut().filter_map(name).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.children.iter_mut().for_each(|process| {
            let _ = (process.child.kill(), process.child.wait());
        });
    }
}

/// The memory that a process has resident.
fn resident_megabytes(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096 / 1_000_000
}
