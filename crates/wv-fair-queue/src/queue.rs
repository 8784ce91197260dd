//! A queue of requests for one database's slots, and the usage counters of its tenants.
use crate::{FairScheduler, Tenants};

/// A tenant counts as active for this long after its last request.
pub const ACTIVE_WINDOW_US: u64 = 2_000_000;
/// Expected hold time before the first request has finished.
const INITIAL_HOLD_US: u64 = 10_000;

/// The slots held per tenant and the order in which waiting tenants start.
#[derive(Default, Clone, Debug)]
pub struct FairQueue {
    pub scheduler: FairScheduler,
    /// Slots currently held, by tenant.
    pub held_slots: Vec<u32>,
    /// Time of the last request, by tenant.
    last_request_us: Vec<u64>,
    /// Moving average of the time that slots are held.
    mean_hold_us: u64,
}

fn tenant_entry<T: Default + Clone>(list: &mut Vec<T>, tenant: u16) -> &mut T {
    if list.len() <= tenant as usize {
        list.resize(tenant as usize + 1, T::default());
    }
    &mut list[tenant as usize]
}

impl FairQueue {
    pub fn expected_us(&self) -> u64 {
        if self.mean_hold_us == 0 {
            INITIAL_HOLD_US
        } else {
            self.mean_hold_us
        }
    }

    pub fn record_request(&mut self, tenant: u16, now_us: u64) {
        *tenant_entry(&mut self.last_request_us, tenant) = now_us;
    }

    /// Takes a slot and returns the expected hold time that the tenant is charged for.
    pub fn start(&mut self, tenant: u16, weight: u64) -> u64 {
        let expected_us = self.expected_us();
        *tenant_entry(&mut self.held_slots, tenant) += 1;
        self.scheduler.start(tenant, weight, expected_us);
        expected_us
    }

    /// Releases a slot and corrects the charge to the actual hold time.
    pub fn finish(&mut self, tenant: u16, weight: u64, expected_us: u64, held_us: u64) {
        let held = tenant_entry(&mut self.held_slots, tenant);
        *held = held.saturating_sub(1);
        self.scheduler.finish(tenant, weight, expected_us, held_us);
        self.mean_hold_us =
            if self.mean_hold_us == 0 { held_us.max(1) } else { (self.mean_hold_us * 15 + held_us) / 16 };
    }

    fn is_active(&self, tenant: u16, now_us: u64) -> bool {
        self.last_request_us.get(tenant as usize).is_some_and(|last| *last > 0 && last + ACTIVE_WINDOW_US > now_us)
    }

    /// The tenant's weighted share of `slots` among the active tenants, at least one.
    pub fn entitled_slots(&self, tenants: &Tenants, tenant: u16, slots: u32, now_us: u64) -> u32 {
        let is_counted = |other: &u16| *other == tenant || self.is_active(*other, now_us);
        let all: u64 = (0..tenants.len() as u16).filter(is_counted).map(|other| tenants.weight(other)).sum();
        ((u64::from(slots) * tenants.weight(tenant) / all.max(1)) as u32).max(1)
    }

    /// Whether `tenant` may take a slot for an unbounded time. Beyond its share it may only take slots to which no
    /// other active tenant is entitled, because an idle transaction cannot be preempted.
    pub fn may_hold_slot(&self, tenants: &Tenants, tenant: u16, slots: u32, now_us: u64) -> bool {
        let held = |tenant: u16| self.held_slots.get(tenant as usize).copied().unwrap_or(0);
        if held(tenant) < self.entitled_slots(tenants, tenant, slots, now_us) {
            return true;
        }
        let others = (0..tenants.len() as u16).filter(|other| *other != tenant && self.is_active(*other, now_us));
        let owed: u32 =
            others.map(|other| self.entitled_slots(tenants, other, slots, now_us).saturating_sub(held(other))).sum();
        slots.saturating_sub(self.held_slots.iter().sum()) > owed
    }
}

/// Usage of one tenant on an access node.
#[derive(Default, Clone, Debug, PartialEq, Eq)]
pub struct TenantUsage {
    pub sessions: u32,
    pub started: u64,
    /// Requests started beyond the tenant's share or while other tenants were waiting.
    pub borrowed: u64,
    pub refused: u64,
    pub held_us: u64,
}
