//! Routes by the hosts that they are for.
use crate::{Fixed, Route};
use std::hash::BuildHasher;
use std::rc::Rc;

/// The first route of each host, by its number; the wire has no paths, so it is the one that counts.
#[derive(Clone, Default)]
pub(crate) struct Hosts {
    table: hashbrown::HashTable<u32>,
    hasher: Fixed,
    /// Host and prefix of the routes that stand behind the first of their hosts.
    others: hashbrown::HashSet<(String, String), Fixed>,
}

impl std::fmt::Debug for Hosts {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{} hosts", self.table.len())
    }
}

impl Hosts {
    /// Takes in the route that comes to stand behind `routes`; `false` if one of them has its host and its prefix.
    pub fn enter(&mut self, routes: &[Rc<Route>], route: &Route) -> bool {
        let hash = self.hasher.hash_one(route.host.as_str());
        let first = self.table.find(hash, |at| routes[*at as usize].host == route.host).map(|at| &routes[*at as usize]);
        let Some(first) = first else {
            let hasher = &self.hasher;
            let hash_of = |at: &u32| hasher.hash_one(routes[*at as usize].host.as_str());
            self.table.insert_unique(hash, routes.len() as u32, hash_of);
            return true;
        };
        let prefix = route.prefix.as_deref().unwrap_or("/");
        let place = (route.host.clone(), prefix.to_owned());
        first.prefix.as_deref().unwrap_or("/") != prefix && self.others.insert(place)
    }

    /// The table of all routes; they do not clash.
    fn of(routes: &[Rc<Route>]) -> Hosts {
        let mut hosts = Hosts::default();
        routes.iter().enumerate().for_each(|(at, route)| {
            hosts.enter(&routes[..at], route);
        });
        hosts
    }

    pub fn find(&self, routes: &[Rc<Route>], host: &str) -> Option<usize> {
        let hash = self.hasher.hash_one(host);
        self.table
            .find(hash, |at| routes.get(*at as usize).is_some_and(|route| route.host == host))
            .map(|at| *at as usize)
    }
}

/// Routes that are taken in one after the other. While each is for the host that the old one in its place was for, the
/// old table is as good as a new one.
pub(crate) struct Entering<'a> {
    old: Option<(&'a [Rc<Route>], &'a Rc<Hosts>)>,
    hosts: Hosts,
}

impl<'a> Entering<'a> {
    pub fn new(old: Option<(&'a [Rc<Route>], &'a Rc<Hosts>)>) -> Entering<'a> {
        Entering { old, hosts: Hosts::default() }
    }

    /// As of the table itself.
    pub fn enter(&mut self, routes: &[Rc<Route>], route: &Rc<Route>) -> bool {
        let is_same =
            |old: &Rc<Route>| Rc::ptr_eq(old, route) || (old.host == route.host && old.prefix == route.prefix);
        if self.old.is_some_and(|(olds, _)| olds.get(routes.len()).is_some_and(is_same)) {
            return true;
        }
        if self.old.take().is_some() {
            self.hosts = Hosts::of(routes);
        }
        self.hosts.enter(routes, route)
    }

    pub fn end(self, routes: &[Rc<Route>]) -> Rc<Hosts> {
        match self.old {
            Some((olds, hosts)) if olds.len() == routes.len() => hosts.clone(),
            Some(_) => Rc::new(Hosts::of(routes)),
            None => Rc::new(self.hosts),
        }
    }
}
