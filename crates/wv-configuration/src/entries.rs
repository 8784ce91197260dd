//! Parsing of the entries of the `routing` and `services` lists.
use crate::{incremental, Category, ConfigurationError, PathError, Reader, Route, Service, Services};

/// Reads a duration given in milliseconds.
fn duration_us(reader: &Reader<'_>, path: &str) -> Result<u64, PathError> {
    reader.number(path).map(|ms| (ms * 1000.0) as u64)
}

pub(crate) fn duration_us_or(reader: &Reader<'_>, path: &str, default_us: u64) -> Result<u64, PathError> {
    if reader.has(path) {
        duration_us(reader, path)
    } else {
        Ok(default_us)
    }
}

pub(crate) fn parse_route(reader: &Reader<'_>) -> Result<Route, ConfigurationError> {
    let label = reader.string("label")?.to_owned();
    let expiry_us = duration_us(reader, "expiryMs")?;
    // With a zero expiry every statement would expire before it could be served.
    if expiry_us == 0 {
        return Err(ConfigurationError::ZeroExpiry(label));
    }
    // An unknown category is treated as the strictest one, so that a newer value never weakens consistency.
    let category = match reader.string("category").unwrap_or("primary") {
        "bounded_staleness" => {
            Category::BoundedStaleness { max_staleness_us: duration_us_or(reader, "maxStalenessMs", 0)? }
        }
        _ => Category::Primary,
    };
    let prefix = if reader.has("pathPrefix") { reader.string("pathPrefix")? } else { "/" };
    Ok(Route {
        host: reader.string("host")?.to_owned(),
        category,
        expiry_us,
        target_us: duration_us_or(reader, "targetMs", expiry_us)?.max(1000),
        precedence: reader.integer_or("precedence", 1)?.min(255) as u32,
        service: reader.string("destination")?.to_owned(),
        max_attempts: reader.integer_or("maxAttempts", 1)?.clamp(1, 16) as u32,
        path_prefix: (prefix != "/").then(|| prefix.into()),
        label,
    })
}

fn parse_service(reader: &Reader<'_>) -> Result<Service, ConfigurationError> {
    Ok(Service {
        label: reader.string("label")?.to_owned(),
        max_connections: reader.integer_or("maxConnections", 64)?.clamp(1, 100_000) as u32,
        sync_replicas: reader.integer_or("syncReplicas", 0)?.min(1000) as u32,
    })
}

pub(crate) type ParsedServices = (std::rc::Rc<Services>, std::rc::Rc<Vec<String>>);

/// The services by label, and their labels in list order.
pub(crate) fn parse_services(
    list: &[Reader<'_>],
    reused: &incremental::ReusedEntries<'_>,
) -> Result<ParsedServices, ConfigurationError> {
    let mut services = Services::default();
    let mut labels = Vec::new();
    for entry in list {
        let run = reused.visit_run(entry);
        let parsed = if run.is_none() { Some(parse_service(entry)?) } else { None };
        for service in run.into_iter().flatten().filter_map(|matched| reused.service(*matched)).chain(parsed) {
            let label = service.label.clone();
            if services.insert(label.clone(), service).is_some() {
                return Err(ConfigurationError::DuplicateService(label));
            }
            labels.push(label);
        }
    }
    Ok((std::rc::Rc::new(services), std::rc::Rc::new(labels)))
}
