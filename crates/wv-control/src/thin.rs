//! Control nodes that keep nothing, on thin links: they follow the configuration in force as access nodes do, by what
//! differs. Reading the register would bring each voter's copy of it over the link, again with each try.
use crate::core::{Core, FRESH_US};
use wv_inner::{Msg, News};

/// What was asked for is there by then, or is asked for again: a packed configuration takes a fifth of a second over
/// 2 Mbit/s.
const LACK_US: u64 = 800_000;

impl Core {
    /// Whether this node keeps nothing: no disk, and no vote where nobody has one.
    pub(crate) fn is_thin(&self) -> bool {
        !self.is_core && self.seat.votes_in(&self.me) == 0
    }

    /// A voter told the version that it holds.
    pub(crate) fn hear_version(&mut self, addr: &str, version: u64) {
        self.peers.get_mut(addr).into_iter().for_each(|peer| peer.conf = version);
        if !self.is_thin() {
            // Just started, or a voter holds something newer than what is in force here: settle it and learn it.
            if (!self.is_caught_up || version > self.published) && self.is_fresh() {
                self.sync_conf();
            }
            return;
        }
        if version > self.published && self.lacked + LACK_US <= self.now {
            self.lacked = self.now;
            self.send_peer(addr, Msg::Lack { version: self.published });
        }
        // Whatever was acknowledged stands on a majority: nothing newer than what is here, if a majority has nothing.
        self.is_caught_up |= self.has_newest();
    }

    /// The version of the configuration in force here, 0 for none.
    pub fn conf_version(&self) -> u64 {
        self.published
    }

    fn has_newest(&self) -> bool {
        let voters = self.quorum.voters();
        let is_heard = |peer: &&crate::types::Peer| {
            peer.is_up && peer.set == voters.number && peer.ponged + FRESH_US > self.now && peer.conf <= self.published
        };
        let heard = voters.addrs().filter_map(|voter| self.peers.get(voter)).filter(is_heard);
        !voters.members.is_empty() && heard.count() >= self.quorum.majority()
    }

    /// Voters hold the cell already and hear that it counts; the others hear what differs from the one before.
    pub(crate) fn tell_committed(&mut self, base: u64, key: &str, accepted: wv_inner::Ballot) {
        let (voters, others): (Vec<String>, Vec<String>) =
            self.peers.keys().cloned().partition(|addr| self.quorum.voters().has(addr));
        for addr in voters {
            self.send_peer(&addr, Msg::Committed { key: key.to_owned(), accepted });
        }
        let news = self.feed.conf_since(base);
        for addr in others {
            self.send_peer(&addr, Msg::InForce(news.clone()));
        }
    }

    /// Another node holds an older configuration than the one in force.
    pub(crate) fn take_lack(&mut self, link: u64, version: u64) {
        if version < self.published {
            let news = self.feed.conf_since(version);
            self.send(link, Msg::InForce(news));
        }
    }

    /// Another node says what stands on a majority.
    pub(crate) fn take_in_force(&mut self, addr: &str, news: Vec<News>) {
        for news in news {
            let read = match news {
                News::Conf { version, body } if version > self.published => {
                    wv_pack::unpack(&body, crate::core::BODY_MAX).map(|body| (version, body.into_owned()))
                }
                News::ConfChange { base, version, change } if version > self.published => {
                    if base != self.published {
                        self.send_peer(addr, Msg::Lack { version: self.published });
                        return;
                    }
                    let body = self.feed.conf_body().unwrap_or_default();
                    wv_pack::apply(body, &change, crate::core::BODY_MAX).map(|body| (version, body))
                }
                _ => continue,
            };
            match read {
                Ok((version, body)) => self.enter_conf(version, &body),
                // Not made of what is held here: the whole is asked for.
                Err(error) => {
                    log::error!("the configuration in force: {error}");
                    self.send_peer(addr, Msg::Lack { version: 0 });
                    return;
                }
            }
        }
    }
}
