//! Lookup of the route, the caller and the service of a request.

use sesamebeam_core::gateway::table::{
    Caller,
    RouteTable,
    rank, //
};

use crate::fixtures::{
    config,
    route, //
};

#[test]
fn longest_prefix() {
    let mut config = config(1);
    config.routes.push(route("special", "/notes/special/"));
    config.routes.push(route("all", "/"));
    let table = RouteTable::new(config);
    let name = |path| table.route("desk.example", path).map(|r| r.name.as_str());
    assert_eq!(name("/notes/special/1"), Some("special"));
    assert_eq!(name("/notes/1"), Some("notes"));
    assert_eq!(name("/other"), Some("all"));
    assert!(table.route("elsewhere.example", "/notes/1").is_none());
}

#[test]
fn keys() {
    let table = RouteTable::new(config(1));
    let route = &table.config().routes[0];
    let caller = |key| table.caller(route, key);
    assert!(matches!(caller(Some("quay-key")), Caller::Member(org) if org.name == "quay"));
    assert_eq!(caller(Some("no-key")), Caller::Unknown);
    assert_eq!(caller(None), Caller::Unknown);
}

#[test]
fn anonymous_route() {
    let mut open = config(1);
    open.routes[0].allows_anonymous = true;
    let table = RouteTable::new(open);
    let route = &table.config().routes[0];
    assert_eq!(table.caller(route, None), Caller::Anonymous);
    assert_eq!(table.caller(route, Some("no-key")), Caller::Anonymous);
}

#[test]
fn weights() {
    let mut split = config(1);
    split.routes[0].backends = vec![("pool".into(), 9), ("rest".into(), 1)];
    let table = RouteTable::new(split);
    let route = &table.config().routes[0];
    let rest = (0..10_000).filter(|&n| table.service(route, n) == "rest");
    let rest = rest.count();
    assert!((850..1150).contains(&rest), "{rest} of 10,000");
}

#[test]
fn organisation_rank_precedence() {
    let mut ranked = config(1);
    ranked.routes.push(route("later", "/later/"));
    ranked.routes[1].rank = 2;
    let table = RouteTable::new(ranked);
    let [notes, later] = &table.config().routes[..] else {
        panic!("two routes");
    };
    let of = |route, key| rank(route, &table.caller(route, Some(key)));
    assert_eq!(of(later, "lock-key"), 0);
    assert_eq!(of(notes, "lock-key"), 0);
    assert_eq!(of(notes, "quay-key"), 1);
    assert_eq!(of(later, "quay-key"), 2);
    assert_eq!(table.rank_index(2), (2, 3));
}
