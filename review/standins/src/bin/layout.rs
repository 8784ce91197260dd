//! `layout DIR MACHINE ...`: finds free ports on loopback addresses, writes the settings of each machine's processes into
//! DIR, and prints the addresses as lines for a shell. A MACHINE is the name of its zone, with a `+` behind it if it has a
//! disk and serves control beside access.
use std::net::TcpListener;

/// Ports that each machine needs, from the first one on.
const PORTS: u16 = 24;

fn is_free(ip: &str, first: u16) -> bool {
    (first..first + PORTS).all(|port| TcpListener::bind(format!("{ip}:{port}")).is_ok())
}

fn main() -> std::io::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [dir, machines @ ..] = &args[..] else { return Err(std::io::Error::other("usage: layout DIR MACHINE ...")) };
    let ips: Vec<String> = (0..machines.len()).map(|at| format!("127.77.{}.10", at + 1)).collect();
    let cores: Vec<String> =
        ips.iter().zip(machines).filter(|(_, zone)| zone.ends_with('+')).map(|(ip, _)| ip.clone()).collect();
    let databases = "127.77.100.10".to_owned();
    // Below the range from which the system takes the ports of outgoing connections.
    let start = 20_000 + (std::process::id() % 400) as u16 * 25;
    let first = (0..400u16)
        .map(|step| 20_000 + (start - 20_000 + step * 25) % 10_000)
        .find(|first| ips.iter().chain([&databases]).all(|ip| is_free(ip, *first)))
        .ok_or_else(|| std::io::Error::other("no free ports"))?;
    let (front, readiness, control, internal) = (first, first + 1, first + 2, first + 4);
    let seeds: Vec<String> = cores.iter().map(|ip| format!("\"{ip}:{control}\"")).collect();
    for (at, (ip, zone)) in ips.iter().zip(machines).enumerate() {
        let name = zone.trim_end_matches('+');
        let common = format!(
            "zone: \"{name}\"\nip: \"{ip}\"\ninternalPorts: [{internal}, {}]\nseeds: [{}]\ninitialStart: true\nquorumMember: true\n\
             limits: {{maxFds: 4200}}\nheartbeatMs: 1200\nfaultTolerance: {{machines: 1, zones: 0, regions: 0}}\n\
             timers: {{seedLagS: 3, reuseHoldS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 7000, graceS: 6, \
             lossSlackMs: 200, configApplyMs: 3000, downgradeSlackMs: 250, stretchMaxMs: 12000, recoveryS: 12, fencing: true, \
             thawSlackMs: 300}}\nplatformApi: {{address: \"{databases}:{first}\", ratePerS: 50.0, dutyRateS: 50.0}}\n",
            internal + 15,
            seeds.join(", ")
        );
        if zone.ends_with('+') {
            let data = format!("{dir}/data{at}");
            std::fs::create_dir_all(&data)?;
            let own = format!("listenAddrs: {{control: \"{ip}:{control}\"}}\ndataDir: \"{data}\"\n");
            std::fs::write(format!("{dir}/control{at}.yaml"), format!("nodeName: \"m{at}\"\n{own}{common}"))?;
        }
        let listen = format!("listenAddrs: {{front: \"{ip}:{front}\", readiness: \"{ip}:{readiness}\"}}");
        std::fs::write(format!("{dir}/access{at}.yaml"), format!("nodeName: \"m{at}\"\n{listen}\n{common}"))?;
    }
    let all = |ips: &[String], port: u16| ips.iter().map(|ip| format!("{ip}:{port}")).collect::<Vec<_>>().join(",");
    println!("CONTROLS={}", all(&cores, control));
    println!("FRONTS={}", all(&ips, front));
    println!("PLATFORM={databases}:{first}");
    let places: Vec<String> = (1..PORTS).map(|at| format!("{databases}:{}", first + at)).collect();
    println!("DATABASES={}", places.join(","));
    Ok(())
}
