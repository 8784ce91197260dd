//! The entries of the two lists, read one by one.
use crate::{renew, Category, ConfError, PathError, Reader, Route, Service, Services};

fn ms(reader: &Reader<'_>, path: &str) -> Result<u64, PathError> {
    reader.number(path).map(|ms| (ms * 1000.0) as u64)
}

pub(crate) fn ms_or(reader: &Reader<'_>, path: &str, default: u64) -> Result<u64, PathError> {
    if reader.has(path) {
        ms(reader, path)
    } else {
        Ok(default)
    }
}

pub(crate) fn route(reader: &Reader<'_>) -> Result<Route, ConfError> {
    let label = reader.text("label")?.to_owned();
    let expiry_us = ms(reader, "expiryMs")?;
    // A statement that may take no time could never be served: the operator meant something else.
    if expiry_us == 0 {
        return Err(ConfError::NoLimit(label));
    }
    // An unknown category is the strictest one, so that a newer word never weakens a promise.
    let category = match reader.text("category").unwrap_or("primary") {
        "bounded_staleness" => Category::Bounded { stale_us: ms_or(reader, "maxStalenessMs", 0)? },
        _ => Category::Primary,
    };
    let prefix = if reader.has("pathPrefix") { reader.text("pathPrefix")? } else { "/" };
    Ok(Route {
        host: reader.text("host")?.to_owned(),
        category,
        expiry_us,
        target_us: ms_or(reader, "targetMs", expiry_us)?.max(1000),
        precedence: reader.whole_or("precedence", 1)?.min(255) as u32,
        service: reader.text("destination")?.to_owned(),
        max_attempts: reader.whole_or("maxAttempts", 1)?.clamp(1, 16) as u32,
        prefix: (prefix != "/").then(|| prefix.into()),
        label,
    })
}

fn service(reader: &Reader<'_>) -> Result<Service, ConfError> {
    Ok(Service {
        label: reader.text("label")?.to_owned(),
        max_connections: reader.whole_or("maxConnections", 64)?.clamp(1, 100_000) as u32,
        sync_replicas: reader.whole_or("syncReplicas", 0)?.min(1000) as u32,
    })
}

pub(crate) type Held = (std::rc::Rc<Services>, std::rc::Rc<Vec<String>>);

/// The services, and their labels in order.
pub(crate) fn services(list: &[Reader<'_>], known: &renew::Known<'_>) -> Result<Held, ConfError> {
    let mut services = Services::default();
    let mut labels = Vec::new();
    for entry in list {
        let run = known.run(entry);
        let fresh = if run.is_none() { Some(service(entry)?) } else { None };
        for service in run.into_iter().flatten().filter_map(|at| known.service(*at)).chain(fresh) {
            let label = service.label.clone();
            if services.insert(label.clone(), service).is_some() {
                return Err(ConfError::SameService(label));
            }
            labels.push(label);
        }
    }
    Ok((std::rc::Rc::new(services), std::rc::Rc::new(labels)))
}
