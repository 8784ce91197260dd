//! Responses that are decided by the head of a request, before its body is read.
use crate::core::{Core, CONTACT_TTL_US};

impl Core {
    /// The response to a request whose body is not needed; `None` if the body has to be read.
    ///
    /// A diskless node would receive a large configuration over a slow link and send it on to every voter. It redirects
    /// to a voter instead (307 with an absolute URL), or responds 503 while no voter is in contact.
    pub fn handle_head(&mut self, method: &str, path: &str, now: u64) -> Option<(u16, String)> {
        self.advance_clock(now);
        let path = path.split('?').next().unwrap_or(path).trim_matches('/');
        let is_configuration = path == "configuration" && matches!(method, "PUT" | "GET");
        (is_configuration && self.is_diskless()).then(|| match self.voter_address() {
            Some(address) => (307, format!("http://{address}/configuration")),
            None => (503, "{\"cause\":\"no voter is in contact with this node\"}".to_owned()),
        })
    }

    /// The address of a voter in contact, rotating to spread the load.
    fn voter_address(&mut self) -> Option<String> {
        self.redirects = self.redirects.wrapping_add(1);
        let voters = self.proposer.voters();
        let is_reachable = |addr: &&str| {
            let is_in_contact = |peer: &crate::types::Peer| peer.is_up && peer.last_contact + CONTACT_TTL_US > self.now;
            self.peers.get(*addr).is_some_and(|peer| is_in_contact(peer) && peer.voter_set == voters.number)
        };
        let reachable: Vec<&str> = voters.addrs().filter(is_reachable).collect();
        reachable.get(self.redirects % reachable.len().max(1)).map(|addr| (*addr).to_owned())
    }
}
