//! Load test of the control plane: control processes on loopback with simulated access nodes and database heartbeats.
//! `cargo build --release && cargo run --release -p windvalve --example hollow -- NODES DATABASES CONTROLS [SECONDS]`
//! prints one line of JSON and removes its temporary files.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use wv_access::LoadTestNode;

type Failure = Box<dyn std::error::Error>;

const CONTROL_PORT: u16 = 19180;
const INTERNAL_PORT: u16 = 19580;
/// Number of primaries that each node writes to.
const PRIMARIES_PER_NODE: usize = 30;
const CHANGES: u64 = 5;
const TIMEOUT: Duration = Duration::from_secs(60);

/// Kills its processes and removes its directory when dropped.
struct ControlProcesses {
    children: Vec<Child>,
    dir: std::path::PathBuf,
}

impl Drop for ControlProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn addr(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, at as u8 + 1], CONTROL_PORT))
}

fn start_controls(controls: usize) -> Result<ControlProcesses, Failure> {
    let dir = std::env::temp_dir().join(format!("windvalve-hollow-{}", std::process::id()));
    let program = std::env::current_exe()?.parent().and_then(|dir| dir.parent()).map(|dir| dir.join("windvalve"));
    let program = program.filter(|path| path.exists()).ok_or("build the program first: cargo build --release")?;
    let mut processes = ControlProcesses { children: Vec::new(), dir: dir.clone() };
    let seeds: Vec<String> = (0..controls.min(3)).map(|at| format!("\"{}\"", addr(at))).collect();
    for at in 0..controls {
        let node_dir = dir.join(format!("c{at}"));
        std::fs::create_dir_all(node_dir.join("data"))?;
        let text = format!(
            "nodeName: \"c{at}\"\nzone: \"z{at}\"\nip: \"{}\"\nlistenAddrs: {{control: \"{}\"}}\n\
             internalPorts: [{INTERNAL_PORT}, {}]\nseeds: [{}]\ninitialStart: true\ndataDir: \"{}\"\n",
            addr(at).ip(),
            addr(at),
            INTERNAL_PORT + 10,
            seeds.join(", "),
            node_dir.join("data").display()
        );
        std::fs::write(node_dir.join("settings.yaml"), text)?;
        let mut command = Command::new(&program);
        command.arg("control").arg("--settings").arg(node_dir.join("settings.yaml"));
        processes.children.push(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?);
    }
    Ok(processes)
}

/// Sends one request on a persistent connection and returns the status.
fn send_request(stream: &mut TcpStream, method: &str, path: &str, body: &str) -> std::io::Result<u16> {
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: ");
    stream.write_all(format!("{head}{}\r\n\r\n{body}", body.len()).as_bytes())?;
    let (mut buf, mut received) = ([0u8; 4096], Vec::new());
    loop {
        let len = stream.read(&mut buf)?;
        if len == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        received.extend_from_slice(&buf[..len]);
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let Some(end) = text.find("\r\n\r\n") else { continue };
        let body_len =
            text.split("content-length: ").nth(1).and_then(|rest| rest.split('\r').next()?.parse::<usize>().ok());
        if received.len() >= end + 4 + body_len.unwrap_or(0) {
            return Ok(text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0));
        }
    }
}

fn put(at: usize, path: &str, body: &str) -> Result<u16, Failure> {
    let mut stream = TcpStream::connect(addr(at))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    Ok(send_request(&mut stream, "PUT", path, body)?)
}

/// Sends heartbeats for databases `from` to `until` forever, each about every 1.2 s.
fn send_heartbeats(from: usize, until: usize, controls: usize) {
    let mut streams: Vec<Option<TcpStream>> = (0..controls).map(|_| None).collect();
    for sequence in 1u64.. {
        let started = Instant::now();
        for at in from..until {
            let (service, role) = (at / 3, if at % 3 == 0 { "primary" } else { "replica" });
            let address = format!("10.{}.{}.{}:5000", at >> 16, (at >> 8) & 255, at & 255);
            let body = format!(
                "{{\"destination\":\"s{service}\",\"address\":\"{address}\",\"zone\":\"z{}\",\"issue\":\"v1\",\
                 \"capacity\":10,\"state\":\"in_service\",\"coldLeftMs\":0,\"dbRole\":\"{role}\",\
                 \"sequence\":{sequence}}}",
                at % controls
            );
            let node = at % controls;
            let stream = streams[node].take().or_else(|| TcpStream::connect(addr(node)).ok());
            let path = format!("/instances/i{at}");
            streams[node] =
                stream.and_then(|mut stream| send_request(&mut stream, "PUT", &path, &body).ok().map(|_| stream));
            let due = Duration::from_millis(1200) * (at - from + 1) as u32 / (until - from) as u32;
            std::thread::sleep(due.saturating_sub(started.elapsed()));
        }
    }
}

fn configuration(version: u64, services: usize) -> String {
    let route = |at: usize| {
        let expiry = if at == 0 { 1000 + version } else { 1000 };
        format!(
            "{{\"label\":\"r{at}\",\"host\":\"h{at}\",\"category\":\"primary\",\"expiryMs\":{expiry},\
             \"destination\":\"s{at}\"}}"
        )
    };
    let service = |at: usize| format!("{{\"label\":\"s{at}\",\"maxConnections\":400,\"syncReplicas\":1}}");
    let routes: Vec<String> = (0..services).map(route).collect();
    let services: Vec<String> = (0..services).map(service).collect();
    format!("{{\"issue\":{version},\"routing\":[{}],\"services\":[{}]}}", routes.join(","), services.join(","))
}

/// CPU seconds and peak memory in KB of a process.
fn usage_of(pid: u32) -> Result<(f64, u64), Failure> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|rest| rest.trim().split(' ').next()?.parse().ok());
    Ok((ticks / 100.0, peak.unwrap_or(0)))
}

async fn wait_until(what: &str, timeout: Duration, is_done: impl Fn() -> bool) -> Result<f64, Failure> {
    let started = Instant::now();
    while !is_done() {
        if started.elapsed() > timeout {
            return Err(format!("{what}: timed out after {} s", timeout.as_secs()).into());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(started.elapsed().as_secs_f64())
}

async fn measure(nodes: usize, databases: usize, controls: usize, seconds: u64) -> Result<serde_json::Value, Failure> {
    let processes = start_controls(controls)?;
    let pids: Vec<u32> = processes.children.iter().map(Child::id).collect();
    let (started, services) = (Instant::now(), databases.div_ceil(3));
    loop {
        match put(0, "/configuration", &configuration(1, services)) {
            Ok(200) => break,
            Ok(status) if (400..500).contains(&status) => {
                return Err(format!("configuration of {services} services rejected with status {status}").into());
            }
            _ if started.elapsed() > TIMEOUT => return Err("no configuration was accepted in time".into()),
            _ => tokio::time::sleep(Duration::from_millis(200)).await,
        }
    }
    let threads = databases.div_ceil(1000).max(1);
    for thread in 0..threads {
        let (from, until) = (databases * thread / threads, databases * (thread + 1) / threads);
        std::thread::spawn(move || send_heartbeats(from, until, controls));
    }
    // Lets the databases register first, so that the nodes join a running fleet.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let seeds: Vec<SocketAddr> = (0..controls).map(addr).collect();
    let start_node = |at: usize| {
        LoadTestNode::start(
            &format!("a{at}"),
            &format!("z{}", at % controls),
            seeds.clone(),
            INTERNAL_PORT,
            1000 + at as u64,
        )
    };
    let fleet: Vec<LoadTestNode> = (0..nodes).map(start_node).collect();
    let has_joined =
        |node: &LoadTestNode| node.active_configuration_version() == 1 && node.database_count() == databases;
    let join_s = wait_until("all nodes know all databases", TIMEOUT, || fleet.iter().all(has_joined)).await?;
    let join_bytes: u64 = fleet.iter().map(|node| node.traffic_bytes().0).sum::<u64>() / nodes as u64;
    for node in &fleet {
        node.simulate_writes(PRIMARIES_PER_NODE);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let cpu =
        |pids: &[u32]| -> Result<f64, Failure> { pids.iter().try_fold(0.0, |sum, pid| Ok(sum + usage_of(*pid)?.0)) };
    let traffic =
        || fleet.iter().map(LoadTestNode::traffic_bytes).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let (cpu_before, own_before, before, start) =
        (cpu(&pids)?, usage_of(std::process::id())?.0, traffic(), Instant::now());
    while start.elapsed() < Duration::from_secs(seconds) {
        fleet.iter().for_each(|node| node.simulate_writes(PRIMARIES_PER_NODE));
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let span_s = start.elapsed().as_secs_f64();
    let (cpu_s, own_s, after) = (cpu(&pids)? - cpu_before, usage_of(std::process::id())?.0 - own_before, traffic());
    let mut delays_s = Vec::new();
    for version in 2..2 + CHANGES {
        let status = put((version as usize) % controls, "/configuration", &configuration(version, services))?;
        if status != 200 {
            return Err(format!("a configuration change was rejected with status {status}").into());
        }
        delays_s.push(
            wait_until("all nodes have the new configuration", TIMEOUT, || {
                fleet.iter().all(|node| node.active_configuration_version() == version)
            })
            .await?,
        );
    }
    delays_s.sort_by(f64::total_cmp);
    let peak = pids.iter().filter_map(|pid| usage_of(*pid).ok()).map(|(_, peak)| peak).max().unwrap_or(0);
    let per_node = |bytes: u64| (bytes as f64 / span_s / nodes as f64).round();
    let cores = |cpu_s: f64, count: usize| (cpu_s / span_s / count as f64 * 1e6).round() / 1e6;
    Ok(serde_json::json!({
        "nodes": nodes, "databases": databases, "controls": controls, "seconds": span_s.round(),
        "control_cores_each": cores(cpu_s, controls), "control_peak_kb": peak, "hollow_cores_each": cores(own_s, nodes),
        "read_bytes_s_node": per_node(after.0 - before.0), "written_bytes_s_node": per_node(after.1 - before.1),
        "joined_bytes_node": join_bytes, "join_s": (join_s * 100.0).round() / 100.0,
        "configuration_bytes": configuration(1, services).len(),
        "spread_s_median": delays_s[delays_s.len() / 2], "spread_s_max": delays_s[delays_s.len() - 1],
    }))
}

fn main() -> Result<(), Failure> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let usage = "usage: hollow NODES DATABASES CONTROLS [SECONDS] (up to 4000, 20000, 24 and 60)";
    let number = |at: usize, default: Option<usize>, max: usize| -> Result<usize, Failure> {
        let Some(word) = args.get(at) else { return default.ok_or_else(|| usage.into()) };
        let value: usize = word.parse().map_err(|_| format!("{word:?} is not an integer; {usage}"))?;
        if !(1..=max).contains(&value) {
            return Err(format!("{value} is not within 1 to {max}; {usage}").into());
        }
        Ok(value)
    };
    let (nodes, databases) = (number(0, None, 4000)?, number(1, None, 20_000)?);
    let (controls, seconds) = (number(2, None, 24)?, number(3, Some(10), 60)?);
    let system = actix::System::new();
    let result = system.block_on(measure(nodes, databases, controls, seconds as u64))?;
    println!("{result}");
    // Ends the heartbeat threads as well.
    std::process::exit(0)
}
