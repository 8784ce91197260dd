//! Walls between machines, slow machines and silent links, as TCP and the executors would have them: what is sent
//! through a wall arrives once it falls, unless the link has been given up by then.
use crate::nodes::End;
use crate::world::{Ev, World, HOP};
use crate::MS;
use wv_access::ConnectionLoss;

/// A link between windvalve's own processes over which nothing came for so long is given up.
const SILENT: u64 = 1500 * MS;
/// The same for one to a database.
const MUTE: u64 = 900 * MS;

/// A process in the world.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Node {
    Access(usize),
    Control(usize),
}

pub(crate) struct Held {
    way: (String, String),
    at: u64,
    event: Ev,
}

impl World {
    /// Nothing passes from `one` to `other` until as many walls fell as were put up.
    pub fn wall(&mut self, one: &str, other: &str) {
        self.note_trouble(one);
        self.note_trouble(other);
        *self.walls.entry((one.to_owned(), other.to_owned())).or_default() += 1;
    }

    pub fn unwall(&mut self, one: &str, other: &str) {
        let way = (one.to_owned(), other.to_owned());
        let Some(count) = self.walls.get_mut(&way) else { return };
        *count -= 1;
        let has_more = *count > 0;
        self.note_trouble(one);
        self.note_trouble(other);
        if has_more {
            return;
        }
        self.walls.remove(&way);
        let (through, held) = std::mem::take(&mut self.walled).into_iter().partition(|held: &Held| held.way == way);
        self.walled = held;
        through.into_iter().for_each(|held| self.put(0, held.event));
    }

    /// Whether no connection can be made between the two.
    pub(crate) fn is_walled(&self, one: &str, other: &str) -> bool {
        let has = |one: &str, other: &str| self.walls.contains_key(&(one.to_owned(), other.to_owned()));
        !self.walls.is_empty() && (has(one, other) || has(other, one))
    }

    fn end_name(&self, end: End) -> String {
        match end {
            End::Control { at, .. } => self.controls[at].name.clone(),
            End::Access { at, .. } => self.access[at].name.clone(),
        }
    }

    /// The far end of a link that stands.
    fn far_end(&self, end: End) -> Option<End> {
        match end {
            End::Control { at, link, life } if self.controls[at].life == life => {
                self.controls[at].far.get(&link).copied()
            }
            End::Access { at, life, turn } if self.access[at].life == life && self.access[at].turn == turn => {
                self.access[at].session
            }
            _ => None,
        }
    }

    /// From whom to whom an event goes over a wire; none where it is local.
    fn way(&self, event: &Ev) -> Option<(String, String)> {
        match event {
            Ev::Link { to: end, .. } | Ev::LinkDown { end } => {
                Some((self.end_name(self.far_end(*end)?), self.end_name(*end)))
            }
            Ev::DbIn { base, conn, .. } => {
                let (access, _) = self.owner(*base, *conn)?;
                Some((self.access[access].name.clone(), self.bases[*base].id.clone()))
            }
            Ev::DbOpened { access, db, .. }
            | Ev::DbOut { access, db, .. }
            | Ev::DbEnd { access, db, lost: ConnectionLoss::Closed, .. } => {
                let (base, _) = self.db_conns.get(&(*access, *db))?;
                Some((self.bases[*base].id.clone(), self.access[*access].name.clone()))
            }
            _ => None,
        }
    }

    /// The process that handles an event.
    pub(crate) fn whose(&self, event: &Ev) -> Option<Node> {
        Some(match event {
            Ev::Late(event) => return self.whose(event),
            Ev::Care(at) | Ev::Timer(at) | Ev::Session(at) => Node::Access(*at),
            Ev::DbOpened { access, .. } | Ev::DbOut { access, .. } | Ev::DbEnd { access, .. } => Node::Access(*access),
            Ev::Link { to: end, .. } | Ev::LinkDown { end } => match end {
                End::Control { at, .. } => Node::Control(*at),
                End::Access { at, .. } => Node::Access(*at),
            },
            Ev::HandUp { at, .. } | Ev::HandDown { at, .. } | Ev::Hand { at, .. } => Node::Access(*at),
            Ev::ControlTick(at) | Ev::ControlWake(at, _) => Node::Control(*at),
            Ev::LinkUp { control, .. } | Ev::Row { control, .. } | Ev::Posted { control, .. } => {
                Node::Control(*control)
            }
            Ev::Ran { control, .. } | Ev::Call { control, .. } => Node::Control(*control),
            _ => return None,
        })
    }

    /// An event that does not happen yet is put off; any other is returned.
    pub(crate) fn put_off(&mut self, event: Ev) -> Option<Ev> {
        let event = match event {
            Ev::Late(event) => return Some(*event),
            event => event,
        };
        if !self.walls.is_empty() {
            if let Some(way) = self.way(&event).filter(|way| self.walls.contains_key(way)) {
                if let Some((access, db)) = self.db_of(&event) {
                    self.put(MUTE, Ev::Mute { access, db, life: self.access[access].life });
                }
                self.walled.push(Held { way, at: self.now, event });
                return None;
            }
        }
        let node = if self.slow.is_empty() { None } else { self.whose(&event) };
        let Some((delay, last)) = node.and_then(|node| self.slow.get_mut(&node)) else { return Some(event) };
        // One after the other, also while it gets faster again.
        if *delay == 0 && *last < self.now {
            return Some(event);
        }
        *last = (*last).max(self.now + *delay);
        let after = *last - self.now;
        self.put(after, Ev::Late(Box::new(event)));
        None
    }

    fn db_of(&self, event: &Ev) -> Option<(usize, u64)> {
        match event {
            Ev::DbIn { base, conn, .. } => self.owner(*base, *conn),
            Ev::DbOpened { access, db, .. } | Ev::DbOut { access, db, .. } => Some((*access, *db)),
            _ => None,
        }
    }

    /// Whether a connection to a database has waited for a wall for too long: then its node gives it up.
    pub(crate) fn mute(&mut self, access: usize, db: u64, life: u64) {
        let now = self.now;
        let is_old = |held: &Held| held.at + MUTE <= now && self.db_of(&held.event) == Some((access, db));
        if self.access[access].life != life || !self.walled.iter().any(is_old) {
            return;
        }
        if let Some((base, conn)) = self.forget_conn((access, db)) {
            self.bases[base].conns.remove(&conn);
            self.bases[base].busy.remove(&conn);
        }
        self.put(0, Ev::DbEnd { access, db, lost: ConnectionLoss::Unreachable, life });
    }

    /// Each event of the process takes this long to be come to; 0 ends it.
    pub fn slow_down(&mut self, node: Node, us: u64) {
        self.note_trouble(&self.node_name(node));
        self.slow.entry(node).or_default().0 = us;
    }

    /// Links over which nothing came for too long are given up by this control node.
    pub(crate) fn end_silent(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.controls[at];
        let (far, heard) = (&node.far, &mut node.heard);
        heard.retain(|link, _| far.contains_key(link));
        let silent: Vec<u64> =
            far.keys().copied().filter(|link| *heard.entry(*link).or_insert(now) + SILENT < now).collect();
        for link in silent {
            let far = self.controls[at].far.remove(&link);
            self.with_control(at, |core, now| core.link_down(link, now));
            far.into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
        }
    }

    /// Links between the two are reset at both ends; what is on its way is lost.
    pub fn reset_links(&mut self, at: usize, other: &str) {
        self.note_trouble(&self.controls[at].name.clone());
        self.note_trouble(other);
        let far: Vec<(u64, End)> = self.controls[at].far.iter().map(|(link, far)| (*link, *far)).collect();
        let far: Vec<(u64, End)> = far.into_iter().filter(|(_, far)| self.end_name(*far) == other).collect();
        for (link, far) in far {
            let end = End::Control { at, link, life: self.controls[at].life };
            self.put(0, Ev::LinkDown { end });
            self.put(0, Ev::LinkDown { end: far });
        }
    }

    /// Power is lost: nobody is told, and of what the disk was writing some may stand.
    pub fn power_control(&mut self, at: usize, draw: u64) {
        self.note_trouble(&self.controls[at].name.clone());
        let node = &mut self.controls[at];
        node.core = None;
        node.far.clear();
        node.faults.cut(&node.files, draw);
    }
}
