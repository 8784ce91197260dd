//! The settings file that a process reads at startup. Unknown fields are ignored.

#[derive(thiserror::Error, Debug)]
pub enum SettingsError {
    #[error("WINDVALVE_BOOT is not set and no --settings was given")]
    PathNotSet,
    #[error("settings file {0}: {1}")]
    Read(String, std::io::Error),
    #[error("settings file {0}: invalid YAML: {1}")]
    Yaml(String, serde_yaml_ng::Error),
    #[error("settings file {0}: {1}")]
    Field(String, wv_configuration::PathError),
    #[error("settings file {0}: {1} is not an address (IP:PORT): {2:?}")]
    Address(String, &'static str, String),
    #[error("settings file {0}: {1}")]
    Value(String, &'static str),
}

#[derive(Clone, Debug, PartialEq)]
pub struct PlatformApi {
    pub address: std::net::SocketAddr,
    pub duty_rate_per_s: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node_name: String,
    pub zone: String,
    pub ip: std::net::IpAddr,
    pub front_addr: Option<std::net::SocketAddr>,
    pub readiness_addr: Option<std::net::SocketAddr>,
    pub control_addr: Option<std::net::SocketAddr>,
    pub internal_port: u16,
    /// The last port of the range reserved for communication between nodes.
    pub last_internal_port: u16,
    pub seeds: Vec<std::net::SocketAddr>,
    pub initial_start: bool,
    pub data_dir: Option<std::path::PathBuf>,
    pub contact_timeout_us: u64,
    pub grace_period_us: u64,
    pub drain_timeout_us: u64,
    pub tolerated_machine_failures: u64,
    pub max_fds: u64,
    pub platform_api: Option<PlatformApi>,
}

fn parse_addr(file: &str, name: &'static str, text: &str) -> Result<std::net::SocketAddr, SettingsError> {
    text.parse().map_err(|_| SettingsError::Address(file.to_owned(), name, text.to_owned()))
}

impl Settings {
    /// The path of the settings file: the flag if given, else `WINDVALVE_BOOT`.
    pub fn resolve_path(flag: Option<&str>) -> Result<String, SettingsError> {
        flag.map(str::to_owned).or_else(|| std::env::var("WINDVALVE_BOOT").ok()).ok_or(SettingsError::PathNotSet)
    }

    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read(path.to_owned(), error))
            .and_then(|text| Settings::parse(path, &text))
    }

    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let value: serde_json::Value =
            serde_yaml_ng::from_str(text).map_err(|error| SettingsError::Yaml(file.to_owned(), error))?;
        let reader = wv_configuration::Reader::new(&value);
        let field = |error| SettingsError::Field(file.to_owned(), error);
        let ip_text = reader.string("ip").map_err(field)?;
        let ip = ip_text.parse().map_err(|_| SettingsError::Address(file.to_owned(), "ip", ip_text.to_owned()))?;
        let listen = |name: &'static str, path: &str| {
            reader
                .has(path)
                .then(|| reader.string(path).map_err(field).and_then(|text| parse_addr(file, name, text)))
                .transpose()
        };
        let ports = reader.list("internalPorts").map_err(field)?;
        let internal_port = ports
            .first()
            .ok_or(SettingsError::Value(file.to_owned(), "internalPorts is empty"))?
            .as_integer()
            .map_err(field)?;
        let internal_port = u16::try_from(internal_port)
            .ok()
            .filter(|port| *port > 0)
            .ok_or(SettingsError::Value(file.to_owned(), "internalPorts[0] is not a port"))?;
        let last_internal_port =
            ports.get(1).map_or(Ok(u64::from(internal_port)), |port| port.as_integer()).map_err(field)?;
        let last_internal_port = u16::try_from(last_internal_port)
            .ok()
            .filter(|last_port| *last_port >= internal_port)
            .ok_or(SettingsError::Value(
                file.to_owned(),
                "internalPorts[1] is not a port equal to or above internalPorts[0]",
            ))?;
        let seeds = reader
            .list("seeds")
            .map_err(field)?
            .iter()
            .map(|seed| seed.as_str().map_err(field).and_then(|text| parse_addr(file, "seeds", text)))
            .collect::<Result<Vec<_>, _>>()?;
        let duration_us = |path: &str, default: f64, unit_us: f64| {
            if reader.has(path) { reader.number(path).map_err(field) } else { Ok(default) }
                .map(|number| (number * unit_us) as u64)
        };
        let platform_api = reader
            .has("platformApi.address")
            .then(|| {
                let address = reader.string("platformApi.address").map_err(field)?;
                let duty_rate_per_s = if reader.has("platformApi.dutyRateS") {
                    reader.number("platformApi.dutyRateS").map_err(field)?
                } else {
                    1.0
                };
                parse_addr(file, "platformApi.address", address).map(|address| PlatformApi { address, duty_rate_per_s })
            })
            .transpose()?;
        Ok(Settings {
            node_name: reader.string("nodeName").map_err(field)?.to_owned(),
            zone: reader.string("zone").map_err(field)?.to_owned(),
            ip,
            front_addr: listen("listenAddrs.front", "listenAddrs.front")?,
            readiness_addr: listen("listenAddrs.readiness", "listenAddrs.readiness")?,
            control_addr: listen("listenAddrs.control", "listenAddrs.control")?,
            internal_port,
            last_internal_port,
            seeds,
            initial_start: if reader.has("initialStart") {
                reader.boolean("initialStart").map_err(field)?
            } else {
                false
            },
            data_dir: if reader.has("dataDir") {
                Some(std::path::PathBuf::from(reader.string("dataDir").map_err(field)?))
            } else {
                None
            },
            contact_timeout_us: duration_us("timers.contactMs", 4000.0, 1e3)?,
            grace_period_us: duration_us("timers.graceS", 6.0, 1e6)?,
            drain_timeout_us: duration_us("timers.drainMs", 7000.0, 1e3)?,
            tolerated_machine_failures: if reader.has("faultTolerance.machines") {
                reader.integer("faultTolerance.machines").map_err(field)?
            } else {
                0
            },
            max_fds: reader.integer_or("limits.maxFds", 1024).map_err(field)?,
            platform_api,
        })
    }

    /// The maximum number of client connections, leaving file descriptors for databases, peers and files.
    pub fn max_clients(&self) -> usize {
        (self.max_fds as usize).saturating_sub(400).max(64) * 3 / 4
    }

    /// The address at which an access node accepts sessions forwarded by other nodes: the port after that of the
    /// control node on the same machine.
    pub fn forwarding_addr(&self) -> Option<std::net::SocketAddr> {
        let port = self.internal_port.checked_add(1).filter(|port| *port <= self.last_internal_port)?;
        Some(std::net::SocketAddr::new(self.ip, port))
    }

    /// The address at which the control node at `control_addr` accepts connections from other nodes.
    pub fn internal_addr(&self, control_addr: std::net::SocketAddr) -> std::net::SocketAddr {
        std::net::SocketAddr::new(control_addr.ip(), self.internal_port)
    }
}
