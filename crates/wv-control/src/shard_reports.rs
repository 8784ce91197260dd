//! Access nodes' reports of sampled keys and key names, acknowledged once the names are stored on a majority.
use crate::core::Core;
use wv_internal_protocol::Message;

impl Core {
    /// Acknowledges a report by incarnation and serial: another incarnation may use the same serial.
    pub(crate) fn send_report_ack(&mut self, shard: &str, (node, incarnation, serial): (String, u64, u64)) {
        let message = Message::ShardReportAck { node: node.clone(), shard: shard.to_owned(), incarnation, serial };
        self.send_to_access_node(&node, message);
    }

    /// Handles an access node's report: forwards it to the shard's holder, or merges it if held here.
    pub(crate) fn on_shard_report(&mut self, node: &str, report: wv_internal_protocol::ShardReport) {
        let holder = self.shard_holder(&report.shard);
        if holder != self.address {
            self.send_peer(&holder, Message::PeerShardReport { node: node.to_owned(), report });
            return;
        }
        let Some(state) = self.shards.get_mut(&report.shard).filter(|state| state.split.has_ballot()) else { return };
        state.usage.is_dirty |= state.usage.sample.merge(report.samples) > 0;
        report.keys.iter().for_each(|name| state.split.key_names.add(name));
        let ack = (node.to_owned(), report.incarnation, report.serial);
        if state.split.key_names.is_stored() && !state.usage.is_writing {
            return self.send_report_ack(&report.shard, ack);
        }
        if !state.usage.pending_acks.contains(&ack) {
            state.usage.pending_acks.push(ack);
        }
        self.run_shard_usage(&report.shard);
    }
}
