//! Requests of a recorded hour as their clients try them: statement by statement, again after a promise.
use crate::clients::Said;
use crate::hour::{Current, End, Kind, AGAIN_US};
use crate::world::{Ev, World};
use crate::MS;

const PROMISES: [&str; 6] = ["CONGESTED", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD"];

impl World {
    /// The next request in line, where nothing is under way.
    pub(crate) fn go_on(&mut self, session: usize) {
        let held = &mut self.hour.sessions[session];
        let is_in = held.client.is_some();
        if !is_in || held.current.is_some() {
            return;
        }
        let Some(op) = held.queue.pop_front() else {
            if held.is_over {
                let client = held.client.take();
                client.into_iter().for_each(|client| self.leave(client));
            }
            return;
        };
        self.try_op(session, op);
    }

    fn try_op(&mut self, session: usize, op: usize) {
        let things = self.things.max(1);
        let thing = format!("{{{}}}x", self.luck.below(things));
        let (read, write) = (format!("READ {thing}"), format!("WRITE {thing}"));
        let is_bounded = self.hour.sessions[session].is_bounded;
        let texts = match self.hour.ops[op].kind {
            Kind::Read => vec![read],
            Kind::Write => vec![write],
            Kind::Txn { statements, writes } => {
                let begin = if is_bounded { "BEGIN READ" } else { "BEGIN" };
                let inner = (0..statements).map(|at| if writes && at > 0 { write.clone() } else { read.clone() });
                [begin.to_owned()].into_iter().chain(inner).chain(["COMMIT".to_owned()]).collect()
            }
        };
        let (now, held) = (self.now, &mut self.hour.sessions[session]);
        held.turn += 1;
        held.current =
            Some(Current { op, texts, step: 0, tags: Vec::new(), begun: now, is_ending: false, is_out: false });
        self.hour.ops[op].tries += 1;
        self.utter_op(session);
    }

    fn utter_op(&mut self, session: usize) {
        self.hour.said += 1;
        let (now, tag) = (self.now, format!("h{}", self.hour.said));
        let held = &mut self.hour.sessions[session];
        let (Some(client), Some(current)) = (held.client, held.current.as_mut()) else { return };
        let mut text = current.texts[current.step].clone();
        if text.starts_with("WRITE") {
            text = format!("{text} {tag}");
            current.tags.push(tag.clone());
        }
        current.is_out = true;
        let first_byte = if current.texts.len() > 1 { current.begun } else { now };
        let since = if held.is_bounded { first_byte.saturating_sub(1500 * MS) } else { first_byte };
        self.saids.insert(tag.clone(), Said { since, ..Said::default() });
        self.say(client, &format!("QUERY {tag} {text}"));
    }

    /// Lines came back to a session of the hour.
    pub(crate) fn answered(&mut self, session: usize, lines: &[String]) {
        let now = self.now;
        let held = &mut self.hour.sessions[session];
        let Some(current) = held.current.as_mut() else { return };
        current.is_out = false;
        let error = lines.iter().find_map(|line| line.strip_prefix("ERROR "));
        let code = error.map(|rest| rest.split(' ').next().unwrap_or_default().to_owned());
        let state = lines.last().and_then(|line| line.split(' ').nth(1)).unwrap_or("I").to_owned();
        let op = current.op;
        if current.is_ending {
            return self.retry_later(session, op, AGAIN_US);
        }
        let Some(code) = code else {
            current.step += 1;
            if current.step < current.texts.len() {
                return self.utter_op(session);
            }
            let tags = std::mem::take(&mut current.tags);
            tags.into_iter().for_each(|tag| self.oracle.ack(tag, now));
            self.close_op(op, End::Served);
            self.hour.sessions[session].current = None;
            return self.go_on(session);
        };
        let wait = error.and_then(|rest| rest.split("after ").nth(1)?.split(' ').next()?.parse::<u64>().ok());
        let is_promise = PROMISES.contains(&code.as_str());
        let tags = std::mem::take(&mut current.tags);
        let has_written = !tags.is_empty();
        if is_promise {
            tags.into_iter().for_each(|tag| {
                self.oracle.promised.insert(tag, now);
            });
        } else if has_written {
            self.oracle.unsure += 1;
            self.close_op(op, End::Unclear);
            self.hour.sessions[session].current = None;
        }
        let held = &mut self.hour.sessions[session];
        if state != "I" {
            if let Some(current) = held.current.as_mut() {
                (current.is_ending, current.texts, current.step) = (true, vec!["ABORT".to_owned()], 0);
                return self.utter_op(session);
            }
        }
        match held.current.is_some() {
            true => self.retry_later(session, op, wait.map_or(AGAIN_US, |ms| ms * MS)),
            false => self.go_on(session),
        }
    }

    /// The whole request is tried again, if its client's time allows.
    fn retry_later(&mut self, session: usize, op: usize, wait: u64) {
        // Clients do not come back in step.
        let wait = wait + self.luck.below(20) * MS;
        if self.now + wait >= self.hour.ops[op].deadline {
            self.close_op(op, End::Refused);
            self.hour.sessions[session].current = None;
            return self.go_on(session);
        }
        let turn = self.hour.sessions[session].turn;
        self.put(wait, Ev::Retry { session, turn });
    }

    pub(crate) fn retry_op(&mut self, session: usize, turn: u64) {
        let held = &mut self.hour.sessions[session];
        if held.turn != turn {
            return;
        }
        let Some(current) = held.current.take() else { return };
        if held.client.is_none() {
            held.queue.push_front(current.op);
            return self.enter(session);
        }
        self.try_op(session, current.op);
    }

    /// The session's connection ended under it: what may have been kept is unclear, all else is tried elsewhere.
    pub(crate) fn hour_cut(&mut self, session: usize) {
        let held = &mut self.hour.sessions[session];
        (held.client, held.turn) = (None, held.turn + 1);
        if let Some(current) = held.current.take() {
            let last = current.texts.get(current.step).map(String::as_str).unwrap_or_default();
            let may_stand = current.is_out
                && !current.tags.is_empty()
                && (last == "COMMIT" || (current.texts.len() == 1 && last.starts_with("WRITE")));
            if may_stand {
                self.oracle.unsure += 1;
                self.close_op(current.op, End::Unclear);
            } else if self.hour.ops[current.op].end == End::Open {
                self.hour.sessions[session].queue.push_front(current.op);
            }
        }
        self.put(20 * MS, Ev::Enter { session });
    }
}
