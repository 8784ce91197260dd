//! Index of routes by host.
use crate::{DeterministicHasher, Route};
use std::hash::BuildHasher;
use std::rc::Rc;

/// The index of each host's first route. The wire protocol has no paths, so that route serves the host.
#[derive(Clone, Default)]
pub(crate) struct HostIndex {
    first_routes: hashbrown::HashTable<u32>,
    hasher: DeterministicHasher,
    /// Host and path prefix of all routes that are not the first of their host.
    other_routes: hashbrown::HashSet<(String, String), DeterministicHasher>,
}

impl std::fmt::Debug for HostIndex {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{} hosts", self.first_routes.len())
    }
}

impl HostIndex {
    /// Adds the route that follows `routes`; `false` if one of them has the same host and path prefix.
    pub fn insert(&mut self, routes: &[Rc<Route>], route: &Route) -> bool {
        let hash = self.hasher.hash_one(route.host.as_str());
        let is_host = |index: &u32| routes[*index as usize].host == route.host;
        let first = self.first_routes.find(hash, is_host).map(|index| &routes[*index as usize]);
        let Some(first) = first else {
            let hasher = &self.hasher;
            let hash_of = |index: &u32| hasher.hash_one(routes[*index as usize].host.as_str());
            self.first_routes.insert_unique(hash, routes.len() as u32, hash_of);
            return true;
        };
        let prefix = route.path_prefix.as_deref().unwrap_or("/");
        let key = (route.host.clone(), prefix.to_owned());
        first.path_prefix.as_deref().unwrap_or("/") != prefix && self.other_routes.insert(key)
    }

    /// Builds the index of routes that have no duplicates.
    fn from_routes(routes: &[Rc<Route>]) -> HostIndex {
        let mut hosts = HostIndex::default();
        routes.iter().enumerate().for_each(|(index, route)| {
            hosts.insert(&routes[..index], route);
        });
        hosts
    }

    pub fn find(&self, routes: &[Rc<Route>], host: &str) -> Option<usize> {
        let hash = self.hasher.hash_one(host);
        self.first_routes
            .find(hash, |index| routes.get(*index as usize).is_some_and(|route| route.host == host))
            .map(|index| *index as usize)
    }
}

/// Builds the index route by route. The previous index is reused as long as every route has the same host and path
/// prefix as the previous route at its position.
pub(crate) struct HostIndexBuilder<'a> {
    previous: Option<(&'a [Rc<Route>], &'a Rc<HostIndex>)>,
    hosts: HostIndex,
}

impl<'a> HostIndexBuilder<'a> {
    pub fn new(previous: Option<(&'a [Rc<Route>], &'a Rc<HostIndex>)>) -> HostIndexBuilder<'a> {
        HostIndexBuilder { previous, hosts: HostIndex::default() }
    }

    /// See `HostIndex::insert`.
    pub fn insert(&mut self, routes: &[Rc<Route>], route: &Rc<Route>) -> bool {
        let is_same = |old: &Rc<Route>| {
            Rc::ptr_eq(old, route) || (old.host == route.host && old.path_prefix == route.path_prefix)
        };
        if self.previous.is_some_and(|(previous, _)| previous.get(routes.len()).is_some_and(is_same)) {
            return true;
        }
        if self.previous.take().is_some() {
            self.hosts = HostIndex::from_routes(routes);
        }
        self.hosts.insert(routes, route)
    }

    pub fn build(self, routes: &[Rc<Route>]) -> Rc<HostIndex> {
        match self.previous {
            Some((previous, hosts)) if previous.len() == routes.len() => hosts.clone(),
            Some(_) => Rc::new(HostIndex::from_routes(routes)),
            None => Rc::new(self.hosts),
        }
    }
}
