//! What happens in the world, and to whom.
use crate::nodes::End;
use crate::world::World;
use crate::MS;
use wv_access::ConnectionLoss;
use wv_internal_protocol::Message;

pub(crate) enum Ev {
    Care(usize),
    Timer(usize),
    Session(usize),
    ControlTick(usize),
    /// The time that a control node of this life asked for is over.
    ControlWake(usize, u64),
    DbOpened {
        access: usize,
        db: u64,
        life: u64,
    },
    DbIn {
        base: usize,
        conn: u64,
        bytes: Vec<u8>,
    },
    DbOut {
        access: usize,
        db: u64,
        bytes: Vec<u8>,
        life: u64,
    },
    DbEnd {
        access: usize,
        db: u64,
        lost: ConnectionLoss,
        life: u64,
    },
    Replicate {
        from: usize,
        to: usize,
        len: usize,
    },
    Apply {
        base: usize,
        len: usize,
    },
    Beat {
        base: usize,
    },
    Link {
        to: End,
        msg: Message,
    },
    LinkUp {
        control: usize,
        link: u64,
    },
    LinkDown {
        end: End,
    },
    Row {
        control: usize,
        life: u64,
        ask: u64,
        word: wv_promotion::StatusReply,
    },
    Posted {
        control: usize,
        life: u64,
        ask: u64,
        code: Option<u16>,
    },
    Promote {
        base: usize,
    },
    Free {
        base: usize,
        conn: u64,
    },
    Step {
        client: usize,
        life: u64,
    },
    /// Sessions of a recorded hour, and their requests.
    Enter {
        session: usize,
    },
    Leave {
        session: usize,
    },
    Arrive {
        op: usize,
    },
    Overdue {
        op: usize,
    },
    Retry {
        session: usize,
        turn: u64,
    },
    Say {
        client: usize,
        line: String,
    },
    /// Own texts reach a database, and their replies the control node.
    Run {
        control: usize,
        run: u64,
        base: usize,
        conn: u64,
        texts: Vec<String>,
    },
    Ran {
        control: usize,
        run: u64,
        replies: Option<Vec<wv_shard_split::Reply>>,
    },
    /// A call of an operator or a database that waited for its node.
    Call {
        control: usize,
        life: u64,
        token: u64,
        method: String,
        path: String,
        body: Vec<u8>,
    },
    /// A slow process comes to it now.
    Late(Box<Ev>),
    /// A connection to a database may have been silent for too long.
    Mute {
        access: usize,
        db: u64,
        life: u64,
    },
    HandUp {
        at: usize,
        link: u64,
        life: u64,
    },
    HandDown {
        at: usize,
        link: u64,
        life: u64,
    },
    Hand {
        at: usize,
        link: u64,
        life: u64,
        msg: wv_internal_protocol::ForwardMessage,
    },
}

impl World {
    pub(crate) fn happen(&mut self, event: Ev) {
        match event {
            Ev::Care(at) => {
                self.with_access(at, |core, now| core.run_maintenance(now));
                self.put(100 * MS, Ev::Care(at));
            }
            Ev::Timer(at) => {
                self.access[at].armed = u64::MAX;
                self.with_access(at, |core, now| core.tick(now));
            }
            Ev::Session(at) => self.session(at),
            Ev::ControlWake(at, life) if self.controls[at].life == life => {
                self.with_control(at, |core, now| core.wake(now));
            }
            Ev::ControlWake(..) => {}
            Ev::ControlTick(at) => {
                if self.is_wild {
                    self.end_silent(at);
                }
                let epoch = (self.epoch_us + self.now).saturating_add_signed(self.controls[at].clock_us);
                self.with_control(at, |core, now| {
                    core.tick(now);
                    core.set_epoch_us(epoch);
                });
                self.put(100 * MS, Ev::ControlTick(at));
            }
            Ev::DbOpened { access, db, life } if life == self.access[access].life => {
                self.with_access(access, |core, now| core.db_opened(db, now));
            }
            Ev::DbOut { access, db, bytes, life } if life == self.access[access].life => {
                self.with_access(access, |core, now| core.db_data(db, &bytes, now));
            }
            Ev::DbEnd { access, db, lost, life } if life == self.access[access].life => {
                self.forget_conn((access, db));
                self.with_access(access, |core, now| core.db_lost(db, lost, now));
            }
            Ev::DbOpened { .. } | Ev::DbOut { .. } | Ev::DbEnd { .. } => {}
            Ev::DbIn { base, conn, bytes } => self.db_in(base, conn, &bytes),
            Ev::Replicate { from, to, len } => self.replicate(from, to, len),
            Ev::Apply { base, len } => {
                self.bases[base].apply(len);
            }
            Ev::Beat { base } => {
                self.beat(base);
                self.catch_up(base);
                self.put(1200 * MS, Ev::Beat { base });
            }
            Ev::Link { to, msg } => self.link_msg(to, msg),
            Ev::LinkUp { control, link } => {
                self.with_control(control, |core, now| core.link_up(link, now));
            }
            Ev::LinkDown { end } => self.link_down(end),
            Ev::Row { control, life, .. } | Ev::Posted { control, life, .. } if self.controls[control].life != life => {
            }
            Ev::Row { control, ask, word, .. } => {
                self.with_control(control, |core, now| core.on_db_status(ask, word, now));
            }
            Ev::Posted { control, ask, code, .. } => {
                self.with_control(control, |core, now| core.on_promotion_response(ask, code, now));
            }
            Ev::Promote { base } => self.promote(base),
            Ev::Free { base, conn } => {
                self.bases[base].busy.remove(&conn);
            }
            Ev::Call { control, life, token, method, path, body } if self.controls[control].life == life => {
                self.with_control(control, |core, now| core.handle_call(token, &method, &path, Some(&body), now));
            }
            Ev::Call { .. } => {}
            Ev::Late(event) => self.happen(*event),
            Ev::Mute { access, db, life } => self.mute(access, db, life),
            Ev::HandUp { at, link, life } => {
                self.with_hand(at, life, |core, now| core.peer_link_up(link, now));
            }
            Ev::HandDown { at, link, life } => {
                self.hands.remove(&(at, link));
                self.with_hand(at, life, |core, now| core.peer_link_down(link, now));
            }
            Ev::Hand { at, link, life, msg } => {
                self.with_hand(at, life, |core, now| core.handle_forward_message(link, msg, now));
            }
            Ev::Step { client, life } => self.step(client, life),
            Ev::Enter { session } => self.enter(session),
            Ev::Leave { session } => self.leave_hour(session),
            Ev::Arrive { op } => self.arrive(op),
            Ev::Overdue { op } => self.overdue(op),
            Ev::Retry { session, turn } => self.retry_op(session, turn),
            Ev::Say { client, line } => self.say(client, &line),
            Ev::Run { control, run, base, conn, texts } => self.run_now(control, run, base, conn, &texts),
            Ev::Ran { control, run, replies } => {
                self.with_control(control, |core, now| core.on_texts_run(run, replies, now));
            }
        }
    }
}
