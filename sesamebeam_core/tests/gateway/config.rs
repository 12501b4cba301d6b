//! Validation of configurations.

use sesamebeam_core::gateway::config::{
    ConfigError,
    GatewayConfig, //
};
use yare::parameterized;

use crate::fixtures::{
    config,
    ms,
    route, //
};

#[test]
fn valid() {
    assert_eq!(config(1).validate(), Ok(()));
}

fn unknown_service(config: &mut GatewayConfig) {
    config.routes[0].backends[0].0 = "nowhere".into();
}

fn same_place(config: &mut GatewayConfig) {
    config.routes.push(route("again", "/notes/"));
}

fn no_weight(config: &mut GatewayConfig) {
    config.routes[0].backends[0].1 = 0;
}

fn no_backend(config: &mut GatewayConfig) {
    config.routes[0].backends.clear();
}

fn no_timeout(config: &mut GatewayConfig) {
    config.routes[0].timeout = ms(0);
}

fn shared_key(config: &mut GatewayConfig) {
    config.organisations[1].keys.push("quay-key".into());
}

#[parameterized(
    service = { unknown_service, "route notes names the unknown service nowhere" },
    place = { same_place, "routes notes and again have the same host and prefix" },
    weight = { no_weight, "the weights of route notes add up to 0" },
    backend = { no_backend, "the weights of route notes add up to 0" },
    timeout = { no_timeout, "the timeout of route notes is 0" },
    key = { shared_key, "organisations quay and lock share a key" },
)]
fn bad_ones(invalidate: fn(&mut GatewayConfig), message: &str) {
    let mut config = config(1);
    invalidate(&mut config);
    let error = config.validate().expect_err("it is invalid");
    assert_eq!(error.to_string(), message);
}

#[test]
fn one_organisation_may_repeat_a_key() {
    let mut config = config(1);
    config.organisations[0].keys.push("quay-key".into());
    assert_eq!(config.validate(), Ok::<(), ConfigError>(()));
}
