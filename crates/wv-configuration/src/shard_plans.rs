//! The `shardPlans` section: plans to split shards before they reach their capacity.
use crate::{sections, ConfigurationError, PathError, Reader};

/// Upper bound of the row and byte counts in a plan.
const MAX_AMOUNT: u64 = 1 << 48;

/// The capacity of a shard, when it may be split, and the service that takes its upper slots.
#[derive(Clone, Debug)]
pub struct ShardPlan {
    pub shard: String,
    /// The service that takes the upper slots.
    pub upper: String,
    /// Capacity in rows; 0 if unlimited.
    pub max_rows: u64,
    /// Capacity in bytes; 0 if unlimited.
    pub max_bytes: u64,
    /// The fraction of the capacity by which the split should be complete.
    pub warn_ratio: f64,
    /// The maintenance windows in which the shard may be split.
    pub quiet_windows: wv_calendar::Calendar,
    /// Rows and bytes present before usage was tracked.
    pub base_rows: u64,
    pub base_bytes: u64,
    /// Maximum copy rate.
    pub max_rows_per_s: u32,
    /// Maximum time that one attempt blocks writes to the slots being moved.
    pub seal_timeout_us: u64,
    /// Whether the split starts automatically in the forecast window, rather than only on request.
    pub is_automatic: bool,
}

fn integer_in_range(
    reader: &Reader<'_>,
    path: &str,
    default: u64,
    bounds: std::ops::RangeInclusive<u64>,
    kind: &'static str,
) -> Result<u64, ConfigurationError> {
    let value = reader.integer_or(path, default)?;
    bounds.contains(&value).then_some(value).ok_or_else(|| PathError::InvalidValue(reader.full_path(path), kind).into())
}

fn known_service(
    reader: &Reader<'_>,
    path: &str,
    is_known: &dyn Fn(&str) -> bool,
) -> Result<String, ConfigurationError> {
    let name = reader.string(path)?;
    is_known(name)
        .then(|| name.to_owned())
        .ok_or_else(|| ConfigurationError::UnknownName(reader.full_path(path), name.to_owned()))
}

fn parse_plan(reader: &Reader<'_>, is_synced: &dyn Fn(&str) -> Option<bool>) -> Result<ShardPlan, ConfigurationError> {
    let is_known = |name: &str| is_synced(name).is_some();
    let (shard, upper) = (known_service(reader, "shard", &is_known)?, known_service(reader, "upper", &is_known)?);
    for (path, name) in [("shard", &shard), ("upper", &upper)] {
        // Every split promotes a replica, so acknowledged writes must survive a promotion.
        if is_synced(name) == Some(false) {
            return Err(
                PathError::InvalidValue(reader.full_path(path), "a service with syncReplicas of 1 or more").into()
            );
        }
    }
    let amount = |path| integer_in_range(reader, path, 0, 0..=MAX_AMOUNT, "an integer from 0 to 2^48");
    let (max_rows, max_bytes) = (amount("rowsMax")?, amount("bytesMax")?);
    if max_rows + max_bytes == 0 {
        return Err(
            PathError::Missing(format!("{} or {}", reader.full_path("rowsMax"), reader.full_path("bytesMax"))).into()
        );
    }
    let warn_ratio = if reader.has("warnAt") { reader.number("warnAt")? } else { 0.8 };
    if !(0.05..=1.0).contains(&warn_ratio) {
        return Err(PathError::InvalidValue(reader.full_path("warnAt"), "a number from 0.05 to 1").into());
    }
    let quiet_windows = wv_calendar::Calendar::parse(reader.string("quiet")?)
        .map_err(|error| ConfigurationError::Calendar(reader.full_path("quiet"), error.to_string()))?;
    Ok(ShardPlan {
        shard,
        upper,
        max_rows,
        max_bytes,
        warn_ratio,
        quiet_windows,
        base_rows: amount("baseRows")?,
        base_bytes: amount("baseBytes")?,
        max_rows_per_s: integer_in_range(reader, "rowsPerS", 200, 1..=100_000, "an integer from 1 to 100000")? as u32,
        seal_timeout_us: integer_in_range(
            reader,
            "sealMs",
            5000,
            500..=20_000,
            "an integer from 500 to 20000 (milliseconds)",
        )? * 1000,
        is_automatic: if reader.has("auto") { reader.boolean("auto")? } else { true },
    })
}

pub(crate) fn parse_plans(
    reader: &Reader<'_>,
    is_synced: impl Fn(&str) -> Option<bool>,
    routed_by: impl Fn(&str) -> Option<String>,
) -> Result<Vec<ShardPlan>, ConfigurationError> {
    let mut plans: Vec<ShardPlan> = Vec::new();
    for entry in sections::section_entries(reader, "shardPlans")? {
        let plan = parse_plan(&entry, &is_synced)?;
        if plan.shard == plan.upper {
            return Err(PathError::InvalidValue(entry.full_path("upper"), "a service other than the shard").into());
        }
        // Directly routed data could collide with moved data of the same name.
        if let Some(route) = routed_by(&plan.upper) {
            return Err(ConfigurationError::Conflict(entry.full_path("upper"), plan.upper, format!("route {route}")));
        }
        if plans.iter().any(|existing| existing.shard == plan.shard) {
            return Err(ConfigurationError::DuplicateLabel(entry.full_path("shard"), plan.shard));
        }
        if plans.iter().any(|existing| existing.upper == plan.upper) {
            return Err(ConfigurationError::DuplicateLabel(entry.full_path("upper"), plan.upper));
        }
        plans.push(plan);
    }
    Ok(plans)
}
