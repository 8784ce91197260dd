//! Control nodes without durable storage, which may be on slow links: they receive the committed configuration as
//! deltas, like access nodes. A register read would transfer the copy of every voter, on each attempt.
use crate::core::Core;
use wv_internal_protocol::{FeedUpdate, Message};

/// A requested configuration that has not arrived after this is requested again. A compressed one takes a fifth of a
/// second at 2 Mbit/s.
const REQUEST_RETRY_US: u64 = 800_000;

impl Core {
    /// Whether this node has neither a disk nor a vote.
    pub(crate) fn is_diskless(&self) -> bool {
        !self.has_disk && self.voter_state.voting_set(&self.address) == 0
    }

    /// A peer reported the configuration version that it has stored.
    pub(crate) fn handle_peer_version(&mut self, addr: &str, version: u64) {
        self.peers.get_mut(addr).into_iter().for_each(|peer| peer.configuration_version = version);
        if !self.is_diskless() {
            // After startup, or if a peer has a newer version: a register read completes and learns it.
            if (!self.is_caught_up || version > self.committed_version) && self.has_majority() {
                self.read_newest_configuration();
            }
            return;
        }
        if version > self.committed_version {
            self.request_configuration(addr, self.committed_version);
        }
        // An acknowledged configuration is stored by a majority, so without a newer one there this node is current.
        self.check_caught_up();
    }

    /// The version of the configuration applied here, 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.committed_version
    }

    /// Requests configurations newer than `version`, unless a reply may still be on its way.
    fn request_configuration(&mut self, addr: &str, version: u64) {
        if self.configuration_requested_at == 0 || self.configuration_requested_at + REQUEST_RETRY_US <= self.now {
            self.configuration_requested_at = self.now;
            self.send_peer(addr, Message::ConfigurationRequest { version });
        }
    }

    /// Sends a peer the configurations newer than its own.
    pub(crate) fn handle_configuration_request(&mut self, link: u64, version: u64) {
        if version < self.feed.configuration_version() {
            let updates = self.feed.configuration_updates_since(version);
            self.send(link, Message::CommittedConfigurations(updates));
        }
    }

    /// Applies configurations that a majority has stored.
    pub(crate) fn handle_committed_configurations(&mut self, addr: &str, updates: Vec<FeedUpdate>) {
        for update in updates {
            let read = match update {
                FeedUpdate::Configuration { version, body } if version > self.committed_version => {
                    self.compressor.decompress(&body, crate::core::BODY_MAX_BYTES).map(|text| (version, body, text))
                }
                FeedUpdate::ConfigurationDelta { base, version, delta } if version > self.committed_version => {
                    if base != self.committed_version {
                        return self.request_configuration(addr, self.committed_version);
                    }
                    let (current, _) = self.compressor.reference();
                    let decoded = wv_compression::apply_delta(&current, &delta, crate::core::BODY_MAX_BYTES);
                    decoded.map(|text| (version, self.compressor.compress(&text), text))
                }
                _ => continue,
            };
            match read {
                Ok((version, packed, text)) => {
                    self.is_first_configuration = false;
                    self.apply_configuration(version, packed, &text)
                }
                // The delta does not apply to the body held here, so the full configuration is requested.
                Err(error) => {
                    log::error!("cannot decode a configuration from {addr}, requesting it in full: {error}");
                    return self.request_configuration(addr, 0);
                }
            }
        }
    }
}
