//! Messages on the links: from access nodes and from other control nodes.
use crate::core::Core;
use crate::types::Link;
use wv_internal_protocol::{Inst, Msg};

impl Core {
    /// A link came in.
    pub fn link_in(&mut self, now: u64) -> u64 {
        self.at(now);
        let link = self.fresh_id();
        self.links.insert(link, Link { peer: None, node: None, is_follower: false, awaited: None });
        link
    }

    /// A link this side dialled stands.
    pub fn link_up(&mut self, link: u64, now: u64) {
        self.at(now);
        let Some(addr) = self.links.get(&link).and_then(|held| held.peer.clone()) else { return };
        self.peers.get_mut(&addr).into_iter().for_each(|peer| peer.is_up = true);
        self.send(
            link,
            Msg::Hello {
                node: self.node.clone(),
                control: self.me.clone(),
                zone: self.zone.clone(),
                place: String::new(),
                life: self.life,
            },
        );
        self.send(link, self.peers_msg());
        if self.is_leave_told {
            self.send(link, Msg::Leaving);
        }
        let ping = self.ping_msg();
        self.send(link, ping);
        self.tell_leaves(link);
        // Before there is contact nothing is compared: then all of it is asked for.
        if self.contact.is_held {
            self.send(link, Msg::Digests { ranges: self.table.digests() });
        }
        self.send(link, Msg::Sessions { nodes: self.roster.sessions(self.now) });
        // Whoever was away hears who was promoted meanwhile, and which shards changed hands.
        let leads: Vec<Msg> = self.feed.leads().filter(|lead| lead.term > 0).cloned().map(Msg::Lead).collect();
        leads.into_iter().for_each(|lead| self.send(link, lead));
        let owners: Vec<Msg> = self.feed.owners().values().cloned().map(Msg::Owner).collect();
        owners.into_iter().for_each(|owner| self.send(link, owner));
        let maps: Vec<Msg> = self.feed.slots().values().cloned().map(Msg::Slots).collect();
        maps.into_iter().for_each(|map| self.send(link, map));
        self.take_over();
    }

    pub fn link_down(&mut self, link: u64, now: u64) {
        self.at(now);
        let Some(held) = self.links.remove(&link) else { return };
        if let Some(peer) = held.peer.and_then(|addr| self.peers.get_mut(&addr)).filter(|peer| peer.link == Some(link))
        {
            (peer.link, peer.is_up) = (None, false);
        }
        let is_elsewhere = |node: &str| self.links.values().any(|link| link.node.as_deref() == Some(node));
        if let Some(node) = held.node.filter(|node| !is_elsewhere(node)) {
            self.roster.leave(&node);
        }
    }

    pub fn msg(&mut self, link: u64, msg: Msg, now: u64) {
        self.at(now);
        let Some(held) = self.links.get(&link) else { return };
        let (peer, node) = (held.peer.clone(), held.node.clone());
        if let Some(addr) = &peer {
            self.roster.peer(addr, self.now);
        }
        match (msg, peer, node) {
            (Msg::Hello { node, control, zone, place, .. }, _, _) => self.hello(link, node, (control, zone), &place),
            (msg, Some(addr), _) => self.peer_msg(link, &addr, msg),
            (msg, None, Some(node)) => self.node_msg(link, &node, msg),
            (_, None, None) => self.acts.push(crate::Act::Close { link }),
        }
        self.run_quorum();
    }

    fn hello(&mut self, link: u64, node: String, (control, zone): (String, String), place: &str) {
        let is_control = !control.is_empty();
        if is_control {
            self.know_peer(control.clone());
            // Another life of its machine, perhaps: one that stays.
            self.peers
                .get_mut(&control)
                .into_iter()
                .for_each(|peer| (peer.zone, peer.is_leaving) = (zone.clone(), false));
            self.links.insert(link, Link { peer: Some(control), node: None, is_follower: false, awaited: None });
        } else {
            self.roster.enter(&node, place, self.now);
            self.links.insert(link, Link { peer: None, node: Some(node), is_follower: false, awaited: None });
        }
        self.send(link, self.peers_msg());
    }

    pub(crate) fn know_peer(&mut self, addr: String) {
        let since = self.now;
        if addr != self.me {
            self.peers.entry(addr).or_insert_with(|| crate::types::Peer { since, ..Default::default() });
        }
    }

    fn node_msg(&mut self, link: u64, node: &str, msg: Msg) {
        match msg {
            Msg::Here { leaving } => self.roster.beat(node, leaving, self.now),
            Msg::Follow { life, place } => {
                if let Some(held) = self.links.get_mut(&link) {
                    (held.is_follower, held.awaited) = (false, Some((life, place)));
                }
                self.serve_follows();
            }
            Msg::Sights(sights) => self.hear_sights(node, sights),
            Msg::Marks(marks) => self.take_marks(node, marks),
            Msg::Fill(fill) => self.take_fill(node, fill),
            _ => self.acts.push(crate::Act::Close { link }),
        }
    }

    /// Followers are served once a majority is in fresh contact. Without one what is known here may be old: they ask
    /// elsewhere, unless this node has only just started, when all others may be no further.
    pub(crate) fn serve_follows(&mut self) {
        let is_ready = self.is_caught_up() && self.contact.syncing.is_empty() && !self.is_leaving;
        let is_young = self.is_young() && !self.is_leaving;
        if !is_ready && is_young {
            return;
        }
        let awaiting = self.links.iter_mut().filter_map(|(id, link)| link.awaited.take().map(|from| (*id, from)));
        for (link, (life, place)) in awaiting.collect::<Vec<_>>() {
            if !is_ready {
                self.send(link, Msg::Beat { fresh: false });
                continue;
            }
            self.links.get_mut(&link).into_iter().for_each(|held| held.is_follower = true);
            let msgs = self.feed.since(life, place, &self.table);
            msgs.into_iter().for_each(|msg| self.send(link, msg));
        }
    }

    fn peer_msg(&mut self, link: u64, addr: &str, msg: Msg) {
        match msg {
            Msg::Peers { addrs, voters, before, .. } => {
                addrs.into_iter().for_each(|addr| self.know_peer(addr));
                self.learn_voters(&voters, &before);
                // Who speaks of an older set is told of the newest.
                if voters.number < self.seat.voters.number {
                    let msg = self.peers_msg();
                    self.send(link, msg);
                }
            }
            Msg::Sessions { nodes } => {
                self.roster.peer_sessions(addr, nodes, self.now);
            }
            Msg::Ping { asker, request } => {
                let conf = self.store.get(crate::core::CONF).map_or(0, |held| held.value.version);
                let disk = self.is_core.then_some(self.seat.disk);
                let set = self.seat.votes_in(&self.me);
                let ready = self.is_ready();
                let sealed = if set == 0 { self.seat.sits_in(&self.me) } else { 0 };
                self.send(link, Msg::Pong { asker, request, conf, disk, set, sealed, ready });
            }
            Msg::Pong { asker, request, conf, disk, set, sealed, ready } => {
                let Some(sent) = self.ping_sent(asker, request) else { return };
                let is_leaving = self.peers.get(addr).is_some_and(|peer| peer.is_leaving);
                self.roster.peer_core(addr, disk.is_some() && !is_leaving);
                if let Some(peer) = self.peers.get_mut(addr).filter(|peer| peer.contact <= sent) {
                    (peer.contact, peer.disk, peer.set) = (sent, disk, set);
                    (peer.sealed, peer.is_ready) = (sealed, ready);
                }
                self.reckon_contact();
                self.hear_version(addr, conf);
            }
            Msg::Recap { asker, request, ranges } => self.give_recap(link, (asker, request), &ranges),
            Msg::Recapped { asker, request } => self.recapped(addr, asker, request),
            Msg::Call { asker, request, set, key, step } => {
                let vote = self.vote(set, &key, &step);
                vote.into_iter()
                    .for_each(|vote| self.send(link, Msg::Voted { asker, request, key: key.clone(), vote }));
            }
            Msg::Voted { asker, request, key, vote } => {
                self.quorum.voted(addr, (asker, request), &key, vote, self.now);
            }
            Msg::Takeover(msg) => self.hear_takeover(link, addr, msg),
            Msg::Leaving => self.peer_leaves(addr),
            Msg::Handover(msg) => self.hear_handover(link, addr, msg),
            msg @ (Msg::Claim { .. } | Msg::Settle { .. }) => {
                let word = self.change_word(msg);
                word.into_iter().for_each(|word| self.send(link, word));
            }
            msg @ (Msg::Claimed { .. } | Msg::Settled { .. }) => self.change_heard(addr, msg),
            Msg::Committed { key, accepted } if key == crate::core::CONF => self.committed(accepted),
            Msg::Lack { version } => self.take_lack(link, version),
            Msg::InForce(news) => self.take_in_force(addr, news),
            Msg::Inst { asker, request, inst } => {
                let id = inst.id.clone();
                self.inst_from_peer(inst);
                if request > 0 {
                    self.send(link, Msg::InstHeld { asker, request, id });
                }
            }
            Msg::InstHeld { asker, request, id } => self.inst_held(addr, (asker, request), &id),
            Msg::PeerSights { node, mut sights } => {
                self.date_sights(&mut sights);
                self.take_sights(&node, sights)
            }
            Msg::Lead(lead) => self.lead_told(lead),
            Msg::Owner(owner) => self.owner_told(owner),
            Msg::Slots(map) => self.slots_told(map),
            Msg::PeerMarks { node, marks } => self.take_marks(&node, marks),
            Msg::PeerFill { node, fill } => self.take_fill(&node, fill),
            Msg::Outlook { shard, text } => {
                self.outlooks.insert(shard, text);
            }
            Msg::Marked { ref node, .. } | Msg::Filled { ref node, .. } => {
                let node = node.clone();
                self.pass_on(&node, &msg);
            }
            Msg::Promoting { service, id, us } => {
                self.publish(wv_internal_protocol::News::Promoting { service, id, us });
            }
            Msg::Eased { id, falls } => self.eased(id, falls),
            Msg::Digests { ranges } => self.compare(link, &ranges),
            Msg::Range { insts, .. } => self.mend_range(insts),
            _ => {}
        }
    }

    /// Sends what stands here in the ranges whose digests differ.
    pub(crate) fn compare(&mut self, link: u64, theirs: &[u64]) {
        let ours = self.table.digests();
        for (range, sum) in ours.iter().enumerate() {
            if theirs.get(range).is_some_and(|their| their != sum) {
                let insts = self.table.range(range);
                self.send(link, Msg::Range { range: range as u32, insts });
            }
        }
    }

    fn mend_range(&mut self, insts: Vec<Inst>) {
        for inst in insts {
            let changed = self.table.offer(inst.clone());
            self.date_leave(&inst, crate::drain::Teller::Peer);
            self.announce(&changed, false);
        }
    }
}
