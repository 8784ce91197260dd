//! The settings file: what the platform tells a process at its start. Unknown fields are skipped.

#[derive(thiserror::Error, Debug)]
pub enum SettingsError {
    #[error("WINDVALVE_BOOT is not set and no --settings was given")]
    Unnamed,
    #[error("settings file {0}: {1}")]
    Read(String, std::io::Error),
    #[error("settings file {0} is not readable as YAML: {1}")]
    Yaml(String, serde_yaml_ng::Error),
    #[error("settings file {0}: {1}")]
    Field(String, wv_configuration::PathError),
    #[error("settings file {0}: {1} is not an address (IP:PORT): {2:?}")]
    Address(String, &'static str, String),
    #[error("settings file {0}: {1}")]
    Value(String, &'static str),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    pub addr: std::net::SocketAddr,
    pub duty_rate: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node: String,
    pub zone: String,
    pub ip: std::net::IpAddr,
    pub front: Option<std::net::SocketAddr>,
    pub readiness: Option<std::net::SocketAddr>,
    pub control: Option<std::net::SocketAddr>,
    pub inner_port: u16,
    /// The last of the ports that are free for what nodes say to each other.
    pub inner_last: u16,
    pub seeds: Vec<std::net::SocketAddr>,
    pub initial_start: bool,
    pub data_dir: Option<std::path::PathBuf>,
    pub contact_us: u64,
    pub grace_us: u64,
    pub drain_us: u64,
    pub tolerate_machines: u64,
    pub max_fds: u64,
    pub platform: Option<Platform>,
}

fn addr(file: &str, name: &'static str, text: &str) -> Result<std::net::SocketAddr, SettingsError> {
    text.parse().map_err(|_| SettingsError::Address(file.to_owned(), name, text.to_owned()))
}

impl Settings {
    /// The path in force: the flag first, else `WINDVALVE_BOOT`.
    pub fn path(flag: Option<&str>) -> Result<String, SettingsError> {
        flag.map(str::to_owned).or_else(|| std::env::var("WINDVALVE_BOOT").ok()).ok_or(SettingsError::Unnamed)
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
                .then(|| reader.string(path).map_err(field).and_then(|text| addr(file, name, text)))
                .transpose()
        };
        let ports = reader.list("internalPorts").map_err(field)?;
        let inner_port = ports
            .first()
            .ok_or(SettingsError::Value(file.to_owned(), "internalPorts is empty"))?
            .as_integer()
            .map_err(field)?;
        let inner_port = u16::try_from(inner_port)
            .ok()
            .filter(|port| *port > 0)
            .ok_or(SettingsError::Value(file.to_owned(), "internalPorts[0] is not a port"))?;
        let inner_last = ports.get(1).map_or(Ok(u64::from(inner_port)), |port| port.as_integer()).map_err(field)?;
        let inner_last = u16::try_from(inner_last)
            .ok()
            .filter(|last| *last >= inner_port)
            .ok_or(SettingsError::Value(file.to_owned(), "internalPorts[1] is not a port at or after the first"))?;
        let seeds = reader
            .list("seeds")
            .map_err(field)?
            .iter()
            .map(|seed| seed.as_str().map_err(field).and_then(|text| addr(file, "seeds", text)))
            .collect::<Result<Vec<_>, _>>()?;
        let us = |path: &str, default_ms: f64, unit: f64| {
            if reader.has(path) { reader.number(path).map_err(field) } else { Ok(default_ms) }
                .map(|number| (number * unit) as u64)
        };
        let platform = reader
            .has("platformApi.address")
            .then(|| {
                let place = reader.string("platformApi.address").map_err(field)?;
                let duty_rate = if reader.has("platformApi.dutyRateS") {
                    reader.number("platformApi.dutyRateS").map_err(field)?
                } else {
                    1.0
                };
                addr(file, "platformApi.address", place).map(|addr| Platform { addr, duty_rate })
            })
            .transpose()?;
        Ok(Settings {
            node: reader.string("nodeName").map_err(field)?.to_owned(),
            zone: reader.string("zone").map_err(field)?.to_owned(),
            ip,
            front: listen("listenAddrs.front", "listenAddrs.front")?,
            readiness: listen("listenAddrs.readiness", "listenAddrs.readiness")?,
            control: listen("listenAddrs.control", "listenAddrs.control")?,
            inner_port,
            inner_last,
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
            contact_us: us("timers.contactMs", 4000.0, 1e3)?,
            grace_us: us("timers.graceS", 6.0, 1e6)?,
            drain_us: us("timers.drainMs", 7000.0, 1e3)?,
            tolerate_machines: if reader.has("faultTolerance.machines") {
                reader.integer("faultTolerance.machines").map_err(field)?
            } else {
                0
            },
            max_fds: reader.integer_or("limits.maxFds", 1024).map_err(field)?,
            platform,
        })
    }

    /// How many clients a node takes: descriptors are left for databases, links and files.
    pub fn clients_max(&self) -> usize {
        (self.max_fds as usize).saturating_sub(400).max(64) * 3 / 4
    }

    /// Where an access node takes work that others hand over: beside the control node of its machine.
    pub fn hands_addr(&self) -> Option<std::net::SocketAddr> {
        let port = self.inner_port.checked_add(1).filter(|port| *port <= self.inner_last)?;
        Some(std::net::SocketAddr::new(self.ip, port))
    }

    /// Where the control node at `control` listens for the system's own links.
    pub fn inner_addr(&self, control: std::net::SocketAddr) -> std::net::SocketAddr {
        std::net::SocketAddr::new(control.ip(), self.inner_port)
    }
}
