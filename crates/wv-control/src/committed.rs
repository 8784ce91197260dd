//! The committed configuration: parsed incrementally and published at a limited rate.
use crate::core::Core;
use wv_internal_protocol::Message;

/// Minimum interval between published configurations; versions superseded within it are not sent to subscribers.
/// It is far below the seconds within which a configuration must apply everywhere.
const PUBLISH_INTERVAL_US: u64 = 150_000;

impl Core {
    /// Parses a configuration, reusing the unchanged parts of the current one.
    pub(crate) fn parse_configuration(
        &self,
        body: &[u8],
    ) -> Result<wv_configuration::Configuration, wv_configuration::ConfigurationError> {
        self.configuration
            .as_ref()
            .map_or_else(|| wv_configuration::Configuration::parse(body), |current| current.parse_incremental(body))
    }

    /// Applies a configuration that a majority has stored and publishes it when the interval allows.
    pub(crate) fn apply_configuration(&mut self, version: u64, packed: Vec<u8>, body: &[u8]) {
        (self.committed_version, self.committed_digest) = (version, crate::proposal::digest(body));
        log::info!("in force {version}");
        self.configuration = self.parse_configuration(body).ok();
        let body =
            self.configuration.as_ref().map_or_else(|| body.into(), |configuration| configuration.body().clone());
        self.compressor.set_reference(body, packed);
        self.sync_slots();
        self.is_configuration_unpublished = true;
        self.publish_configuration();
    }

    /// Publishes the newest configuration if it is unpublished and the interval has passed.
    pub(crate) fn publish_configuration(&mut self) {
        if self.now >= self.configuration_published_at + PUBLISH_INTERVAL_US {
            self.publish_configuration_now();
        }
    }

    /// Publishes the newest configuration if it is unpublished.
    pub(crate) fn publish_configuration_now(&mut self) {
        if !self.is_configuration_unpublished {
            return;
        }
        (self.configuration_published_at, self.is_configuration_unpublished, self.configuration_delta_base) =
            (self.now, false, self.feed.configuration_version());
        let (body, packed) = self.compressor.reference();
        let message = self.feed.publish_configuration(self.committed_version, packed, body);
        self.send_to_subscribers(&message);
        if std::mem::take(&mut self.is_relay_due) {
            self.notify_non_voters();
        }
    }

    /// Voters have the value already and receive only the commit; other control nodes receive deltas like subscribers.
    pub(crate) fn notify_committed(&mut self, key: &str, accepted: wv_internal_protocol::Ballot) {
        let voters: Vec<String> = self.proposer.voters().addrs().map(str::to_owned).collect();
        for addr in voters {
            self.send_peer(&addr, Message::Committed { key: key.to_owned(), accepted });
        }
        self.is_relay_due = self.is_configuration_unpublished;
        if !self.is_relay_due {
            self.notify_non_voters();
        }
    }

    fn notify_non_voters(&mut self) {
        let is_other = |addr: &&String| !self.proposer.voters().contains(addr);
        let others: Vec<String> = self.peers.keys().filter(is_other).cloned().collect();
        let updates = self.feed.configuration_updates_since(self.configuration_delta_base);
        for addr in others {
            self.send_peer(&addr, Message::CommittedConfigurations(updates.clone()));
        }
    }
}
