//! Control nodes that keep nothing, on thin links: they follow the configuration in force as access nodes do, by what
//! differs. Reading the register would bring each voter's copy of it over the link, again with each try.
use crate::core::Core;
use wv_internal_protocol::{FeedUpdate, Message};

/// What was asked for is there by then, or is asked for again: a packed configuration takes a fifth of a second over
/// 2 Mbit/s.
const LACK_US: u64 = 800_000;

impl Core {
    /// Whether this node keeps nothing: no disk, and no vote where nobody has one.
    pub(crate) fn is_thin(&self) -> bool {
        !self.is_core && self.seat.voting_set(&self.me) == 0
    }

    /// A voter told the version that it holds.
    pub(crate) fn hear_version(&mut self, addr: &str, version: u64) {
        self.peers.get_mut(addr).into_iter().for_each(|peer| peer.conf = version);
        if !self.is_thin() {
            // Just started, or a voter holds something newer than what is in force here: settle it and learn it.
            if (!self.is_caught_up || version > self.published) && self.has_majority() {
                self.read_newest_conf();
            }
            return;
        }
        if version > self.published {
            self.lack(addr, self.published);
        }
        // Whatever was acknowledged stands on a majority: nothing newer than what is here, if a majority has nothing.
        self.check_caught_up();
    }

    /// The version of the configuration in force here, 0 for none.
    pub fn conf_version(&self) -> u64 {
        self.published
    }

    /// Asks for what is newer than `version`; not again while the answer may be under way.
    fn lack(&mut self, addr: &str, version: u64) {
        if self.lacked == 0 || self.lacked + LACK_US <= self.now {
            self.lacked = self.now;
            self.send_peer(addr, Message::ConfigurationRequest { version });
        }
    }

    /// Another node holds an older configuration than the one in force.
    pub(crate) fn take_lack(&mut self, link: u64, version: u64) {
        if version < self.feed.configuration_version() {
            let news = self.feed.configuration_updates_since(version);
            self.send(link, Message::CommittedConfigurations(news));
        }
    }

    /// Another node says what stands on a majority.
    pub(crate) fn take_in_force(&mut self, addr: &str, news: Vec<FeedUpdate>) {
        for news in news {
            let read = match news {
                FeedUpdate::Configuration { version, body } if version > self.published => {
                    self.packs.decompress(&body, crate::core::BODY_MAX).map(|text| (version, body, text))
                }
                FeedUpdate::ConfigurationDelta { base, version, delta: change } if version > self.published => {
                    if base != self.published {
                        return self.lack(addr, self.published);
                    }
                    let (held, _) = self.packs.reference();
                    let made = wv_compression::apply_delta(&held, &change, crate::core::BODY_MAX);
                    made.map(|text| (version, self.packs.compress(&text), text))
                }
                _ => continue,
            };
            match read {
                Ok((version, packed, text)) => self.enter_conf(version, packed, &text),
                // Not made of what is held here: the whole is asked for.
                Err(error) => {
                    log::error!("the configuration in force: {error}");
                    return self.lack(addr, 0);
                }
            }
        }
    }
}
