//! Plans for shards that are to be split before they are full.
use crate::{parts, ConfError, PathError, Reader};

const ROWS_MAX: u64 = 1 << 48;

/// When a shard counts as full, when it may be split, and which service takes its upper slots.
#[derive(Clone, Debug)]
pub struct ShardPlan {
    pub shard: String,
    pub upper: String,
    /// What it bears; 0 where that does not bound it.
    pub rows_max: u64,
    pub bytes_max: u64,
    /// The share of that at which it should have been split.
    pub warn_at: f64,
    pub quiet: wv_calendar::Calendar,
    /// What stood there before anyone counted.
    pub base_rows: u64,
    pub base_bytes: u64,
    /// How many rows a second are copied at the most.
    pub rows_per_s: u32,
    /// Writes to what moves wait no longer than this in one try.
    pub seal_us: u64,
    /// Splits by itself in the window that the forecast names; else only on request.
    pub is_auto: bool,
}

fn within(
    reader: &Reader<'_>,
    path: &str,
    default: u64,
    bounds: std::ops::RangeInclusive<u64>,
    kind: &'static str,
) -> Result<u64, ConfError> {
    let found = reader.whole_or(path, default)?;
    bounds.contains(&found).then_some(found).ok_or_else(|| PathError::Kind(reader.name(path), kind).into())
}

fn known(reader: &Reader<'_>, path: &str, is_known: &dyn Fn(&str) -> bool) -> Result<String, ConfError> {
    let name = reader.text(path)?;
    is_known(name).then(|| name.to_owned()).ok_or_else(|| ConfError::UnknownName(reader.name(path), name.to_owned()))
}

fn plan(reader: &Reader<'_>, is_synced: &dyn Fn(&str) -> Option<bool>) -> Result<ShardPlan, ConfError> {
    let is_known = |name: &str| is_synced(name).is_some();
    let (shard, upper) = (known(reader, "shard", &is_known)?, known(reader, "upper", &is_known)?);
    for (path, name) in [("shard", &shard), ("upper", &upper)] {
        // A promotion is part of every split: what is acknowledged must outlive it.
        if is_synced(name) == Some(false) {
            return Err(PathError::Kind(reader.name(path), "a service with syncReplicas of 1 or more").into());
        }
    }
    let amount = |path| within(reader, path, 0, 0..=ROWS_MAX, "a whole number up to 2^48");
    let (rows_max, bytes_max) = (amount("rowsMax")?, amount("bytesMax")?);
    if rows_max + bytes_max == 0 {
        return Err(PathError::Missing(format!("{} or {}", reader.name("rowsMax"), reader.name("bytesMax"))).into());
    }
    let warn_at = if reader.has("warnAt") { reader.number("warnAt")? } else { 0.8 };
    if !(0.05..=1.0).contains(&warn_at) {
        return Err(PathError::Kind(reader.name("warnAt"), "a share of 0.05 to 1").into());
    }
    let quiet = wv_calendar::Calendar::parse(reader.text("quiet")?)
        .map_err(|error| ConfError::Calendar(reader.name("quiet"), error.to_string()))?;
    Ok(ShardPlan {
        shard,
        upper,
        rows_max,
        bytes_max,
        warn_at,
        quiet,
        base_rows: amount("baseRows")?,
        base_bytes: amount("baseBytes")?,
        rows_per_s: within(reader, "rowsPerS", 200, 1..=100_000, "a whole number of 1 to 100000")? as u32,
        seal_us: within(reader, "sealMs", 5000, 500..=20_000, "milliseconds of 500 to 20000")? * 1000,
        is_auto: if reader.has("auto") { reader.flag("auto")? } else { true },
    })
}

pub(crate) fn plans(
    reader: &Reader<'_>,
    is_synced: impl Fn(&str) -> Option<bool>,
    routed: impl Fn(&str) -> Option<String>,
) -> Result<Vec<ShardPlan>, ConfError> {
    let mut plans: Vec<ShardPlan> = Vec::new();
    for entry in parts::entries(reader, "shardPlans")? {
        let plan = plan(&entry, &is_synced)?;
        if plan.shard == plan.upper {
            return Err(PathError::Kind(entry.name("upper"), "another service than the shard").into());
        }
        // Things of one name may stand at both: what is routed there by itself would meet what moves there.
        if let Some(route) = routed(&plan.upper) {
            return Err(ConfError::TwoPlaces(entry.name("upper"), plan.upper, format!("route {route}")));
        }
        if plans.iter().any(|held| held.shard == plan.shard) {
            return Err(ConfError::SameLabel(entry.name("shard"), plan.shard));
        }
        if plans.iter().any(|held| held.upper == plan.upper) {
            return Err(ConfError::SameLabel(entry.name("upper"), plan.upper));
        }
        plans.push(plan);
    }
    Ok(plans)
}
