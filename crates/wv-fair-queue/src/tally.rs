//! What each tenant uses: counts for decisions, and for whoever looks.
use crate::{Fair, Tenants};

/// A tenant counts as active for this long after its last ask.
pub const ACTIVE_US: u64 = 2_000_000;
const HELD_FIRST_US: u64 = 10_000;

/// One line of waiting work, and who holds what of it.
#[derive(Default, Clone, Debug)]
pub struct Line {
    pub fair: Fair,
    /// Slots held now, and when each tenant last asked here.
    pub held: Vec<u32>,
    asked: Vec<u64>,
    /// How long slots are held, on the whole.
    mean_us: u64,
}

fn at<T: Default + Clone>(list: &mut Vec<T>, tenant: u16) -> &mut T {
    if list.len() <= tenant as usize {
        list.resize(tenant as usize + 1, T::default());
    }
    &mut list[tenant as usize]
}

impl Line {
    pub fn expected_us(&self) -> u64 {
        if self.mean_us == 0 {
            HELD_FIRST_US
        } else {
            self.mean_us
        }
    }

    pub fn asked(&mut self, tenant: u16, now: u64) {
        *at(&mut self.asked, tenant) = now;
    }

    /// Returns what the start is charged with.
    pub fn start(&mut self, tenant: u16, weight: u64) -> u64 {
        let expected_us = self.expected_us();
        *at(&mut self.held, tenant) += 1;
        self.fair.start(tenant, weight, expected_us);
        expected_us
    }

    pub fn end(&mut self, tenant: u16, weight: u64, expected_us: u64, held_us: u64) {
        let held = at(&mut self.held, tenant);
        *held = held.saturating_sub(1);
        self.fair.end(tenant, weight, expected_us, held_us);
        self.mean_us = if self.mean_us == 0 { held_us.max(1) } else { (self.mean_us * 15 + held_us) / 16 };
    }

    fn is_active(&self, tenant: u16, now: u64) -> bool {
        self.asked.get(tenant as usize).is_some_and(|asked| *asked > 0 && asked + ACTIVE_US > now)
    }

    /// What `tenant` is entitled to of `slots` among those that are active, at least one.
    pub fn entitled(&self, tenants: &Tenants, tenant: u16, slots: u32, now: u64) -> u32 {
        let is_counted = |other: &u16| *other == tenant || self.is_active(*other, now);
        let all: u64 = (0..tenants.len() as u16).filter(is_counted).map(|other| tenants.weight(other)).sum();
        ((u64::from(slots) * tenants.weight(tenant) / all.max(1)) as u32).max(1)
    }

    /// Whether `tenant` may take a slot that it may hold for long. Within its share always; beyond it only such as
    /// no other active tenant is entitled to, for a resting transaction can't be taken back.
    pub fn may_hold(&self, tenants: &Tenants, tenant: u16, slots: u32, now: u64) -> bool {
        let held = |tenant: u16| self.held.get(tenant as usize).copied().unwrap_or(0);
        if held(tenant) < self.entitled(tenants, tenant, slots, now) {
            return true;
        }
        let others = (0..tenants.len() as u16).filter(|other| *other != tenant && self.is_active(*other, now));
        let owed: u32 = others.map(|other| self.entitled(tenants, other, slots, now).saturating_sub(held(other))).sum();
        slots.saturating_sub(self.held.iter().sum()) > owed
    }
}

/// What an edge tells of one tenant.
#[derive(Default, Clone, Debug, PartialEq, Eq)]
pub struct Tally {
    pub sessions: u32,
    pub started: u64,
    /// Started while others that were waiting had less than their share.
    pub borrowed: u64,
    pub refused: u64,
    pub held_us: u64,
}
