//! Links and their messages, from access nodes and from other control nodes.
use crate::core::{Core, CONFIGURATION_KEY};
use crate::types::Link;
use wv_internal_protocol::{Instance, Message};

impl Core {
    pub fn accept_link(&mut self, now: u64) -> u64 {
        self.advance_clock(now);
        let link = self.allocate_id();
        self.links.insert(link, Link { peer: None, node: None, is_subscriber: false, resume_from: None });
        link
    }

    /// An outgoing link is established.
    pub fn link_up(&mut self, link: u64, now: u64) {
        self.advance_clock(now);
        let Some(addr) = self.links.get(&link).and_then(|link| link.peer.clone()) else { return };
        self.peers.get_mut(&addr).into_iter().for_each(|peer| peer.is_up = true);
        self.send(
            link,
            Message::Hello {
                node: self.node.clone(),
                control_address: self.address.clone(),
                zone: self.zone.clone(),
                forwarding_address: String::new(),
                incarnation: self.incarnation,
            },
        );
        self.send(link, self.peers_message());
        if self.is_leaving_announced {
            self.send(link, Message::Leaving);
        }
        let ping = self.new_ping();
        self.send(link, ping);
        self.send_leaves(link);
        // Without contact a full resync follows, so digests are not compared.
        if self.contact.is_established {
            self.send(link, Message::InstanceDigests { digests: self.table.digests() });
        }
        self.send(link, Message::Sessions { sessions: self.membership.sessions(self.now) });
        // A peer that was disconnected may have missed promotions and changes of shard owners.
        let leaders: Vec<_> =
            self.feed.leaders().filter(|leader| leader.term > 0).cloned().map(Message::Leader).collect();
        leaders.into_iter().for_each(|leader| self.send(link, leader));
        let owners: Vec<Message> = self.feed.owners().values().cloned().map(Message::Owner).collect();
        owners.into_iter().for_each(|owner| self.send(link, owner));
        let maps: Vec<Message> = self.feed.slots().values().cloned().map(Message::Slots).collect();
        maps.into_iter().for_each(|map| self.send(link, map));
        self.run_catch_up();
    }

    pub fn link_down(&mut self, link: u64, now: u64) {
        self.advance_clock(now);
        let Some(lost) = self.links.remove(&link) else { return };
        if let Some(peer) = lost.peer.and_then(|addr| self.peers.get_mut(&addr)).filter(|peer| peer.link == Some(link))
        {
            (peer.link, peer.is_up) = (None, false);
        }
        let is_elsewhere = |node: &str| self.links.values().any(|link| link.node.as_deref() == Some(node));
        if let Some(node) = lost.node.filter(|node| !is_elsewhere(node)) {
            self.membership.end_session(&node);
        }
    }

    pub fn handle_message(&mut self, link: u64, message: Message, now: u64) {
        self.advance_clock(now);
        let Some(sender) = self.links.get(&link) else { return };
        let (peer, node) = (sender.peer.clone(), sender.node.clone());
        if let Some(addr) = &peer {
            self.membership.record_peer(addr, self.now);
        }
        match (message, peer, node) {
            (Message::Hello { node, control_address, zone, forwarding_address, .. }, _, _) => {
                self.handle_hello(link, node, (control_address, zone), &forwarding_address)
            }
            (message, Some(addr), _) => self.handle_peer_message(link, &addr, message),
            (message, None, Some(node)) => self.handle_node_message(link, &node, message),
            (_, None, None) => self.effects.push(crate::Effect::Close { link }),
        }
        self.run_proposer();
    }

    fn handle_hello(&mut self, link: u64, node: String, (control, zone): (String, String), forwarding_address: &str) {
        let is_control = !control.is_empty();
        if is_control {
            self.add_peer(control.clone());
            // The peer may have restarted, so it is not leaving any more.
            self.peers
                .get_mut(&control)
                .into_iter()
                .for_each(|peer| (peer.zone, peer.is_leaving) = (zone.clone(), false));
            self.links.insert(link, Link { peer: Some(control), node: None, is_subscriber: false, resume_from: None });
        } else {
            self.membership.start_session(&node, forwarding_address, self.now);
            self.links.insert(link, Link { peer: None, node: Some(node), is_subscriber: false, resume_from: None });
        }
        self.send(link, self.peers_message());
    }

    pub(crate) fn add_peer(&mut self, addr: String) {
        let since = self.now;
        if addr != self.address {
            self.peers.entry(addr).or_insert_with(|| crate::types::Peer { known_since: since, ..Default::default() });
        }
    }

    fn handle_node_message(&mut self, link: u64, node: &str, message: Message) {
        match message {
            Message::AccessHeartbeat { leaving } => self.membership.heartbeat(node, leaving, self.now),
            Message::Subscribe { incarnation, position } => {
                if let Some(subscriber) = self.links.get_mut(&link) {
                    (subscriber.is_subscriber, subscriber.resume_from) = (false, Some((incarnation, position)));
                }
                self.serve_subscriptions();
            }
            Message::HealthReports(reports) => self.handle_node_reports(node, reports),
            Message::DirtyKeys(dirty_keys) => self.on_dirty_keys(node, dirty_keys),
            Message::ShardReport(report) => self.on_shard_report(node, report),
            _ => self.effects.push(crate::Effect::Close { link }),
        }
    }

    /// Serves subscriptions while a majority is in contact. Without one the state here may be stale and subscribers are
    /// rejected, except during startup, when the other nodes may not be ready either.
    pub(crate) fn serve_subscriptions(&mut self) {
        let is_ready = self.is_caught_up() && self.contact.syncing_shards.is_empty() && !self.is_leaving;
        let is_starting = self.is_starting() && !self.is_leaving;
        if !is_ready && is_starting {
            return;
        }
        let pending = self.links.iter_mut().filter_map(|(id, link)| link.resume_from.take().map(|from| (*id, from)));
        for (link, (incarnation, position)) in pending.collect::<Vec<_>>() {
            if !is_ready {
                self.send(link, Message::ControlHeartbeat { has_majority: false });
                continue;
            }
            self.links.get_mut(&link).into_iter().for_each(|link| link.is_subscriber = true);
            let messages = self.feed.messages_since(incarnation, position, &self.table);
            messages.into_iter().for_each(|message| self.send(link, message));
        }
    }

    fn handle_peer_message(&mut self, link: u64, addr: &str, message: Message) {
        match message {
            Message::Peers { addresses, voters, previous_voters, .. } => {
                addresses.into_iter().for_each(|addr| self.add_peer(addr));
                self.learn_voters(&voters, &previous_voters);
                if voters.number < self.voter_state.voters.number {
                    self.send(link, self.peers_message());
                }
            }
            Message::Sessions { sessions } => {
                self.membership.set_peer_sessions(addr, sessions, self.now);
            }
            Message::Ping { requester, request } => {
                let version = self.store.get(CONFIGURATION_KEY).map_or(0, |register| register.value.version);
                let disk = self.has_disk.then_some(self.voter_state.disk);
                let voter_set = self.voter_state.voting_set(&self.address);
                let ready = self.is_ready_to_vote();
                let sealed_set = if voter_set == 0 { self.voter_state.successor_voting_set(&self.address) } else { 0 };
                self.send(link, Message::Pong { requester, request, version, disk, voter_set, sealed_set, ready });
            }
            Message::Pong { requester, request, version, disk, voter_set, sealed_set, ready } => {
                let Some(sent) = self.ping_sent_at(requester, request) else { return };
                let is_leaving = self.peers.get(addr).is_some_and(|peer| peer.is_leaving);
                self.membership.set_peer_has_disk(addr, disk.is_some() && !is_leaving);
                if let Some(peer) = self.peers.get_mut(addr).filter(|peer| peer.last_contact <= sent) {
                    (peer.last_contact, peer.disk_id, peer.voter_set) = (sent, disk, voter_set);
                    (peer.sealed_set, peer.is_ready) = (sealed_set, ready);
                }
                self.update_contact();
                self.handle_peer_version(addr, version);
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
                self.proposer.on_reply(addr, (requester, request), &key, vote, self.now);
            }
            Message::CatchUp(message) => self.on_catch_up(link, addr, message),
            Message::Leaving => self.on_peer_leaving(addr),
            Message::Handover(message) => self.on_handover(link, addr, message),
            message @ (Message::PrepareSuccessor { .. } | Message::AcceptSuccessor { .. }) => {
                let reply = self.answer_change(message);
                reply.into_iter().for_each(|reply| self.send(link, reply));
            }
            message @ (Message::SuccessorVote { .. } | Message::SuccessorAccepted { .. }) => {
                self.on_successor(addr, message)
            }
            Message::Committed { key, accepted } if key == CONFIGURATION_KEY => self.handle_committed(accepted),
            Message::ConfigurationRequest { version } => self.handle_configuration_request(link, version),
            Message::CommittedConfigurations(updates) => self.handle_committed_configurations(addr, updates),
            Message::Instance { requester, request, instance } => {
                let id = instance.id.clone();
                self.merge_peer_instance(instance);
                if request > 0 {
                    self.send(link, Message::InstanceAck { requester, request, id });
                }
            }
            Message::InstanceAck { requester, request, id } => self.on_instance_ack(addr, (requester, request), &id),
            Message::PeerHealthReports { node, mut reports } => {
                self.age_reports(&mut reports);
                self.record_health_reports(&node, reports)
            }
            Message::Leader(leader) => self.on_leader(leader),
            Message::Owner(owner) => self.on_owner(owner),
            Message::Slots(map) => self.publish_slots(map),
            Message::PeerDirtyKeys { node, dirty_keys } => self.on_dirty_keys(&node, dirty_keys),
            Message::PeerShardReport { node, report } => self.on_shard_report(&node, report),
            Message::ShardStatus { shard, text } => {
                self.shard_status.insert(shard, text);
            }
            Message::DirtyKeysAck { ref node, .. } | Message::ShardReportAck { ref node, .. } => {
                let node = node.clone();
                self.forward_to_access_node(&node, &message);
            }
            Message::Promoting { service, id, max_wait_us } => {
                self.publish(wv_internal_protocol::FeedUpdate::Promoting { service, id, max_wait_us });
            }
            Message::Recovered { id, outages } => self.on_peer_recovered(id, outages),
            Message::InstanceDigests { digests } => self.send_differing_ranges(link, &digests),
            Message::InstanceRange { instances, .. } => self.merge_instances(instances),
            _ => {}
        }
    }

    /// Sends the instances of all ranges whose digests differ.
    pub(crate) fn send_differing_ranges(&mut self, link: u64, theirs: &[u64]) {
        let ours = self.table.digests();
        for (range, sum) in ours.iter().enumerate() {
            if theirs.get(range).is_some_and(|their| their != sum) {
                let instances = self.table.range_instances(range);
                self.send(link, Message::InstanceRange { range: range as u32, instances });
            }
        }
    }

    fn merge_instances(&mut self, instances: Vec<Instance>) {
        for instance in instances {
            let changed = self.table.merge(instance.clone());
            self.record_leave_time(&instance, crate::leave_ages::ReportSource::Peer);
            self.publish_instances(&changed, false);
        }
    }
}
