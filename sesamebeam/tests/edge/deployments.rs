//! The deployments of the example files at their current size.

use sesamebeam::{
    client::Client,
    local::{
        LocalFleet,
        LocalPlan,
        LocalServers, //
    },
};
use sesamebeam_core::{
    fleet::Fleet,
    message::{
        command::{
            Change,
            Verdict, //
        },
        control::{
            ControlReply,
            ControlRequest, //
        }, //
    },
};
use sesamebeam_fakes::RunnerConfig;
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;
use yare::parameterized;

use super::{
    caller::Caller,
    serving::wait_until, //
};

/// Number of entries in each failure domain.
const ENTRIES: usize = 3;

#[parameterized(
    huallaga = {
        include_str!("../../../examples/huallaga/fleet.toml"),
        "asistente-partes",
        9
    },
    vazna = {
        include_str!("../../../examples/vazna/fleet.toml"),
        "beam-pool",
        18
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn deployment(file: &str, engines: &'static str, count: usize) {
    let fleet: Fleet = toml::from_str(file).expect("a fleet file");
    let domains: Vec<&str> = fleet.domains.iter().map(|d| d.as_str()).collect();
    let mut plan = LocalPlan::small(&domains);
    plan.entries = ENTRIES;
    let root = TempDir::new().expect("a folder");
    let cancel = CancellationToken::new();
    let local = LocalFleet::start(&plan, root.path())
        .await
        .expect("a fleet");
    let change = Change {
        base: 0,
        digest: 1,
        fleet: Box::new(fleet.clone()),
        operator: "test".into(),
        at: 0,
    };
    let client = Client::open(&local.settings.operator).expect("a client");
    let verdict = client.call_control(&ControlRequest::Apply(change)).await;
    let accepted = ControlReply::Verdict(Verdict::Accepted(1));
    assert_eq!(verdict.expect("a verdict"), accepted);
    wait_until(&local, |entry| entry.revision() == 1).await;
    let servers = LocalServers::start(
        &fleet,
        |pool| if pool == engines { count } else { 3 },
        |domain| local.announce_addrs(domain),
        &RunnerConfig::default(),
        &cancel,
    )
    .await
    .expect("fakes");
    let wanted = servers.runners.len() + servers.services.len();
    assert_eq!(wanted, count + 3);
    wait_until(&local, |entry| entry.servers() == wanted).await;
    for (n, entry) in local.entries().iter().enumerate() {
        send_every_class(&fleet, entry.addrs().callers, n).await;
    }
    cancel.cancel();
}

/// Sends a request of each class for the first organisation.
async fn send_every_class(fleet: &Fleet, entry: std::net::SocketAddr, n: usize) {
    let org = &fleet.organisations[0].name;
    let caller = Caller::new(entry, &format!("example-{org}"));
    for class in &fleet.classes {
        let key = format!("{}-{n}", class.name);
        let headers = [("idempotency-key", key.as_str())];
        let answer = match &class.service {
            None => caller.chat(&class.name, "trabajo", &headers).await,
            Some(pool) => {
                let path = format!("/services/{pool}/trabajo");
                let mut headers = headers.to_vec();
                headers.push(("x-class", class.name.as_str()));
                caller
                    .send("POST", &path, &headers, b"{}".to_vec())
                    .await
                    .expect("an answer")
            }
        };
        assert_eq!(answer.status, 200, "{}: {answer:?}", class.name);
    }
}
