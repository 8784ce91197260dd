//! What a call is told by its head alone, before its body has come.
use crate::core::{Core, FRESH_US};

impl Core {
    /// The return to a call that need not wait for its body; `None` where the body is wanted.
    ///
    /// A configuration is long, and a machine that keeps nothing hangs on a thin link: over it the body would come in,
    /// and go out again to each voter. So those who write or read one are sent to a voter (307), and elsewhere (503)
    /// while no voter is in contact. A `place` of a 307 is a whole address, since callers follow it as it stands.
    pub fn head(&mut self, method: &str, path: &str, now: u64) -> Option<(u16, String)> {
        self.advance_clock(now);
        let path = path.split('?').next().unwrap_or(path).trim_matches('/');
        let is_conf = path == "configuration" && matches!(method, "PUT" | "GET");
        (is_conf && self.is_thin()).then(|| match self.voter_place() {
            Some(place) => (307, format!("http://{place}/configuration")),
            None => (503, "{\"cause\":\"no voter is in contact with this node\"}".to_owned()),
        })
    }

    /// A voter that was heard of late, another one each time: none is to take all the bodies.
    fn voter_place(&mut self) -> Option<String> {
        self.sent_on = self.sent_on.wrapping_add(1);
        let voters = self.quorum.voters();
        let is_heard = |addr: &&str| {
            let is_near = |peer: &crate::types::Peer| peer.is_up && peer.contact + FRESH_US > self.now;
            self.peers.get(*addr).is_some_and(|peer| is_near(peer) && peer.set == voters.number)
        };
        let heard: Vec<&str> = voters.addrs().filter(is_heard).collect();
        heard.get(self.sent_on % heard.len().max(1)).map(|addr| (*addr).to_owned())
    }
}
