//! The configuration in force here: read by what differs from the one before, and told in steps.
use crate::core::Core;
use wv_internal_protocol::Message;

/// While changes follow each other, followers are told of the newest so often at the most: of those that were overtaken
/// meanwhile nobody hears. It is far under the seconds within which a change has to be in force everywhere.
const TOLD_US: u64 = 150_000;

impl Core {
    /// Reads a configuration, quickly where it is like the one in force.
    pub(crate) fn read_conf(
        &self,
        body: &[u8],
    ) -> Result<wv_configuration::Configuration, wv_configuration::ConfigurationError> {
        self.conf
            .as_ref()
            .map_or_else(|| wv_configuration::Configuration::parse(body), |held| held.parse_incremental(body))
    }

    /// Takes over a configuration that stands on a majority; followers hear of it at once where it is calm.
    pub(crate) fn enter_conf(&mut self, version: u64, packed: Vec<u8>, body: &[u8]) {
        (self.published, self.published_digest) = (version, crate::order::digest(body));
        log::info!("in force {version}");
        self.conf = self.read_conf(body).ok();
        let body = self.conf.as_ref().map_or_else(|| body.into(), |conf| conf.body().clone());
        self.packs.set_reference(body, packed);
        self.sync_slots();
        self.is_conf_due = true;
        self.tell_conf();
    }

    /// Tells followers of the newest configuration if they have not heard of it and the last is long enough ago.
    pub(crate) fn tell_conf(&mut self) {
        if !self.is_conf_due || self.now < self.conf_told + TOLD_US {
            return;
        }
        (self.conf_told, self.is_conf_due, self.conf_base) = (self.now, false, self.feed.configuration_version());
        let (body, packed) = self.packs.reference();
        let msg = self.feed.publish_configuration(self.published, packed, body);
        self.tell_followers(&msg);
        if std::mem::take(&mut self.is_teller) {
            self.tell_thin();
        }
    }

    /// Voters hold the cell already and hear at once that it counts; the others hear what differs, as followers do.
    pub(crate) fn tell_committed(&mut self, key: &str, accepted: wv_internal_protocol::Ballot) {
        let voters: Vec<String> = self.quorum.voters().addrs().map(str::to_owned).collect();
        for addr in voters {
            self.send_peer(&addr, Message::Committed { key: key.to_owned(), accepted });
        }
        self.is_teller = self.is_conf_due;
        if !self.is_teller {
            self.tell_thin();
        }
    }

    fn tell_thin(&mut self) {
        let is_other = |addr: &&String| !self.quorum.voters().contains(addr);
        let others: Vec<String> = self.peers.keys().filter(is_other).cloned().collect();
        let news = self.feed.configuration_updates_since(self.conf_base);
        for addr in others {
            self.send_peer(&addr, Message::CommittedConfigurations(news.clone()));
        }
    }
}
