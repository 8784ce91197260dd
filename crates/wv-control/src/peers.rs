//! Messages on the links: from access nodes and from other control nodes.
use crate::core::Core;
use crate::types::Link;
use wv_internal_protocol::{Instance, Message};

impl Core {
    /// A link came in.
    pub fn link_in(&mut self, now: u64) -> u64 {
        self.advance_clock(now);
        let link = self.fresh_id();
        self.links.insert(link, Link { peer: None, node: None, is_follower: false, awaited: None });
        link
    }

    /// A link this side dialled stands.
    pub fn link_up(&mut self, link: u64, now: u64) {
        self.advance_clock(now);
        let Some(addr) = self.links.get(&link).and_then(|held| held.peer.clone()) else { return };
        self.peers.get_mut(&addr).into_iter().for_each(|peer| peer.is_up = true);
        self.send(
            link,
            Message::Hello {
                node: self.node.clone(),
                control_address: self.me.clone(),
                zone: self.zone.clone(),
                handover_address: String::new(),
                incarnation: self.life,
            },
        );
        self.send(link, self.peers_msg());
        if self.is_leave_told {
            self.send(link, Message::Leaving);
        }
        let ping = self.new_ping();
        self.send(link, ping);
        self.send_leaves(link);
        // Before there is contact nothing is compared: then all of it is asked for.
        if self.contact.is_established {
            self.send(link, Message::InstanceDigests { digests: self.table.digests() });
        }
        self.send(link, Message::Sessions { sessions: self.roster.sessions(self.now) });
        // Whoever was away hears who was promoted meanwhile, and which shards changed hands.
        let leads: Vec<_> = self.feed.leaders().filter(|lead| lead.term > 0).cloned().map(Message::Leader).collect();
        leads.into_iter().for_each(|lead| self.send(link, lead));
        let owners: Vec<Message> = self.feed.owners().values().cloned().map(Message::Owner).collect();
        owners.into_iter().for_each(|owner| self.send(link, owner));
        let maps: Vec<Message> = self.feed.slots().values().cloned().map(Message::Slots).collect();
        maps.into_iter().for_each(|map| self.send(link, map));
        self.run_catch_up();
    }

    pub fn link_down(&mut self, link: u64, now: u64) {
        self.advance_clock(now);
        let Some(held) = self.links.remove(&link) else { return };
        if let Some(peer) = held.peer.and_then(|addr| self.peers.get_mut(&addr)).filter(|peer| peer.link == Some(link))
        {
            (peer.link, peer.is_up) = (None, false);
        }
        let is_elsewhere = |node: &str| self.links.values().any(|link| link.node.as_deref() == Some(node));
        if let Some(node) = held.node.filter(|node| !is_elsewhere(node)) {
            self.roster.end_session(&node);
        }
    }

    pub fn msg(&mut self, link: u64, msg: Message, now: u64) {
        self.advance_clock(now);
        let Some(held) = self.links.get(&link) else { return };
        let (peer, node) = (held.peer.clone(), held.node.clone());
        if let Some(addr) = &peer {
            self.roster.record_peer(addr, self.now);
        }
        match (msg, peer, node) {
            (Message::Hello { node, control_address, zone, handover_address, .. }, _, _) => {
                self.hello(link, node, (control_address, zone), &handover_address)
            }
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
            self.roster.start_session(&node, place, self.now);
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

    fn node_msg(&mut self, link: u64, node: &str, msg: Message) {
        match msg {
            Message::AccessHeartbeat { leaving } => self.roster.heartbeat(node, leaving, self.now),
            Message::Subscribe { incarnation, position } => {
                if let Some(held) = self.links.get_mut(&link) {
                    (held.is_follower, held.awaited) = (false, Some((incarnation, position)));
                }
                self.serve_follows();
            }
            Message::HealthReports(sights) => self.hear_sights(node, sights),
            Message::DirtyKeys(marks) => self.on_write_marks(node, marks),
            Message::KeySamples(fill) => self.on_shard_report(node, fill),
            _ => self.acts.push(crate::Act::Close { link }),
        }
    }

    /// Followers are served once a majority is in fresh contact. Without one what is known here may be old: they ask
    /// elsewhere, unless this node has only just started, when all others may be no further.
    pub(crate) fn serve_follows(&mut self) {
        let is_ready = self.is_caught_up() && self.contact.syncing_shards.is_empty() && !self.is_leaving;
        let is_young = self.is_starting() && !self.is_leaving;
        if !is_ready && is_young {
            return;
        }
        let awaiting = self.links.iter_mut().filter_map(|(id, link)| link.awaited.take().map(|from| (*id, from)));
        for (link, (life, place)) in awaiting.collect::<Vec<_>>() {
            if !is_ready {
                self.send(link, Message::ControlHeartbeat { has_majority: false });
                continue;
            }
            self.links.get_mut(&link).into_iter().for_each(|held| held.is_follower = true);
            let msgs = self.feed.messages_since(life, place, &self.table);
            msgs.into_iter().for_each(|msg| self.send(link, msg));
        }
    }

    fn peer_msg(&mut self, link: u64, addr: &str, msg: Message) {
        match msg {
            Message::Peers { addresses, voters, previous_voters, .. } => {
                addresses.into_iter().for_each(|addr| self.know_peer(addr));
                self.learn_voters(&voters, &previous_voters);
                // Who speaks of an older set is told of the newest.
                if voters.number < self.seat.voters.number {
                    let msg = self.peers_msg();
                    self.send(link, msg);
                }
            }
            Message::Sessions { sessions } => {
                self.roster.set_peer_sessions(addr, sessions, self.now);
            }
            Message::Ping { requester, request } => {
                let version = self.store.get(crate::core::CONF).map_or(0, |held| held.value.version);
                let disk = self.is_core.then_some(self.seat.disk);
                let voter_set = self.seat.voting_set(&self.me);
                let ready = self.is_ready_to_vote();
                let sealed_set = if voter_set == 0 { self.seat.successor_voting_set(&self.me) } else { 0 };
                self.send(link, Message::Pong { requester, request, version, disk, voter_set, sealed_set, ready });
            }
            Message::Pong { requester, request, version, disk, voter_set, sealed_set, ready } => {
                let Some(sent) = self.ping_sent_at(requester, request) else { return };
                let is_leaving = self.peers.get(addr).is_some_and(|peer| peer.is_leaving);
                self.roster.set_peer_has_disk(addr, disk.is_some() && !is_leaving);
                if let Some(peer) = self.peers.get_mut(addr).filter(|peer| peer.contact <= sent) {
                    (peer.contact, peer.disk, peer.set) = (sent, disk, voter_set);
                    (peer.sealed, peer.is_ready) = (sealed_set, ready);
                }
                self.update_contact();
                self.hear_version(addr, version);
            }
            Message::Resync { requester, request, digests } => self.answer_resync(link, (requester, request), &digests),
            Message::ResyncDone { requester, request } => self.on_resync_done(addr, requester, request),
            Message::RegisterRequest { requester, request, voter_set, key, step } => {
                let vote = self.answer_register_step(voter_set, &key, &step);
                vote.into_iter().for_each(|vote| {
                    self.send(link, Message::RegisterReply { requester, request, key: key.clone(), vote })
                });
            }
            Message::RegisterReply { requester, request, key, vote } => {
                self.quorum.on_reply(addr, (requester, request), &key, vote, self.now);
            }
            Message::Takeover(msg) => self.on_catch_up(link, addr, msg),
            Message::Leaving => self.on_peer_leaving(addr),
            Message::Handover(msg) => self.on_handover(link, addr, msg),
            msg @ (Message::PrepareSuccessor { .. } | Message::AcceptSuccessor { .. }) => {
                let word = self.answer_change(msg);
                word.into_iter().for_each(|word| self.send(link, word));
            }
            msg @ (Message::SuccessorVote { .. } | Message::SuccessorAccepted { .. }) => self.on_successor(addr, msg),
            Message::Committed { key, accepted } if key == crate::core::CONF => self.committed(accepted),
            Message::ConfigurationRequest { version } => self.take_lack(link, version),
            Message::CommittedConfigurations(news) => self.take_in_force(addr, news),
            Message::Instance { requester, request, instance } => {
                let id = instance.id.clone();
                self.inst_from_peer(instance);
                if request > 0 {
                    self.send(link, Message::InstanceAck { requester, request, id });
                }
            }
            Message::InstanceAck { requester, request, id } => self.on_instance_ack(addr, (requester, request), &id),
            Message::PeerHealthReports { node, mut reports } => {
                self.date_sights(&mut reports);
                self.record_health_reports(&node, reports)
            }
            Message::Leader(lead) => self.on_leader(lead),
            Message::Owner(owner) => self.on_owner(owner),
            Message::Slots(map) => self.slots_told(map),
            Message::PeerDirtyKeys { node, dirty_keys } => self.on_write_marks(&node, dirty_keys),
            Message::PeerKeySamples { node, samples } => self.on_shard_report(&node, samples),
            Message::ShardStatus { shard, text } => {
                self.outlooks.insert(shard, text);
            }
            Message::DirtyKeysAck { ref node, .. } | Message::KeySamplesAck { ref node, .. } => {
                let node = node.clone();
                self.forward_to_access_node(&node, &msg);
            }
            Message::Promoting { service, id, max_wait_us } => {
                self.publish(wv_internal_protocol::FeedUpdate::Promoting { service, id, max_wait_us });
            }
            Message::Recovered { id, outages } => self.on_peer_recovered(id, outages),
            Message::InstanceDigests { digests } => self.compare(link, &digests),
            Message::InstanceRange { instances, .. } => self.mend_range(instances),
            _ => {}
        }
    }

    /// Sends what stands here in the ranges whose digests differ.
    pub(crate) fn compare(&mut self, link: u64, theirs: &[u64]) {
        let ours = self.table.digests();
        for (range, sum) in ours.iter().enumerate() {
            if theirs.get(range).is_some_and(|their| their != sum) {
                let instances = self.table.range_instances(range);
                self.send(link, Message::InstanceRange { range: range as u32, instances });
            }
        }
    }

    fn mend_range(&mut self, instances: Vec<Instance>) {
        for instance in instances {
            let changed = self.table.merge(instance.clone());
            self.record_leave_time(&instance, crate::leave_ages::ReportSource::Peer);
            self.announce(&changed, false);
        }
    }
}
