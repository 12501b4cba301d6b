//! Fixtures shared by the tests.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use sesamebeam_core::{
    gateway::{
        balance::Outcome,
        config::{
            GatewayConfig,
            Limits,
            OrganisationConfig,
            RetrySafety,
            RouteConfig,
            ServiceConfig, //
        },
        coordinator::{
            ApiRequest,
            Coordinator,
            CoordinatorConfig, //
        },
        directory::{
            Announcement,
            ServerState, //
        },
        request::{
            Head,
            PromptPart, //
        },
        retry_budget::RetryBudgetConfig,
        router::{
            Choice,
            ChooseError,
            Plan,
            Router,
            RouterConfig, //
        },
    },
    ids::MonoTime,
};

use crate::group::listen_addr;

/// Returns a point in time.
pub(crate) fn ms(millis: u64) -> MonoTime {
    Duration::from_millis(millis)
}

/// Returns the address of a backend server.
pub(crate) fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8080))
}

/// Creates the request by which a backend server leaves.
pub(crate) fn leave_request(id: &str) -> ApiRequest {
    ApiRequest::Leave {
        id: id.into(),
        started_at: None,
    }
}

/// Returns the first announcement of a backend server of the service `pool`.
pub(crate) fn announcement(number: u8) -> Announcement {
    Announcement {
        id: format!("server-{number}").into(),
        started_at: 0,
        service: "pool".into(),
        addr: addr(number),
        domain: "hall-1".into(),
        version: "v1".into(),
        slots: 10,
        state: ServerState::Ready,
        cold: Duration::ZERO,
        models: Vec::new(),
        sequence: 1,
    }
}

/// Returns a route to the service `pool`.
pub(crate) fn route(name: &str, prefix: &str) -> RouteConfig {
    RouteConfig {
        name: name.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        retry_safety: RetrySafety::AtMostOnce,
        streaming: true,
        resumable: true,
        timeout: ms(20_000),
        target: ms(1000),
        gap: Some(ms(600)),
        rank: 1,
        models: vec!["small".into(), "large".into()],
        backends: vec![("pool".into(), 1)],
        max_attempts: 3,
        allows_anonymous: false,
    }
}

/// Returns a configuration with one route and two organisations.
pub(crate) fn config(version: u64) -> GatewayConfig {
    GatewayConfig {
        version,
        routes: vec![route("notes", "/notes/")],
        services: vec![ServiceConfig {
            name: "pool".into(),
            health_path: "/health".into(),
            max_connections: 100,
            cold: None,
            engine: None,
        }],
        limits: Limits::default(),
        organisations: vec![
            OrganisationConfig {
                name: "quay".into(),
                keys: vec!["quay-key".into()],
                rank: None,
            },
            OrganisationConfig {
                name: "lock".into(),
                keys: vec!["lock-key".into()],
                rank: Some(0),
            },
        ],
    }
}

/// Returns the head of a request on the route of [`config`].
pub(crate) fn head(id: &str) -> Head {
    Head {
        id: id.into(),
        host: "desk.example".into(),
        path: "/notes/today".into(),
        key: Some("quay-key".into()),
        deadline: Some(ms(20_000)),
        model: None,
        prompt: vec![
            PromptPart { id: 7, tokens: 400 },
            PromptPart { id: 8, tokens: 50 },
        ],
        prompt_tokens: 450,
        response_tokens: None,
        session: None,
        resume_after: None,
    }
}

/// Returns the settings of a router.
pub(crate) fn router_config() -> RouterConfig {
    RouterConfig {
        name: "entry-1".into(),
        domain: "hall-1".into(),
        budget: RetryBudgetConfig {
            ratio: 0.5,
            slack: 10.0,
            window: ms(10_000),
        },
        exposure_share: 0.2,
        session_pause: ms(5000),
        contention: false,
    }
}

/// Returns a router with a configuration and backend servers.
pub(crate) fn router(servers: u8) -> Router {
    let mut router = Router::new(router_config());
    router.set_config(ms(0), config(1));
    router.set_config_current();
    router.set_entries(ms(0), 1);
    for number in 0..servers {
        router.apply_announcement(ms(0), announcement(number));
    }
    router
}

/// Returns a control replica in the first failure domain that is not a member of a group
/// yet.
pub(crate) fn coordinator() -> Coordinator {
    let cfg = CoordinatorConfig {
        addr: listen_addr(1),
        domain: "hall-1".into(),
        tolerated_failures: 2,
        max_exposure: 0.1,
        request_timeout: ms(800),
        disk_stall_timeout: ms(400),
    };
    Coordinator::new(cfg, ms(0))
}

/// Creates a router of a named entry with a number of entries and backend servers.
pub(crate) fn router_of_entry(name: &str, entries: u32, servers: u8) -> Router {
    let mut settings = router_config();
    settings.name = name.into();
    let mut router = Router::new(settings);
    router.set_config(ms(0), config(1));
    router.set_config_current();
    router.set_entries(ms(0), entries);
    for number in 0..servers {
        router.apply_announcement(ms(0), announcement(number));
    }
    router
}

/// Admits a request that shares no prompt.
pub(crate) fn plan(router: &mut Router, now: MonoTime, id: &str) -> Plan {
    let mut head = head(id);
    head.prompt.clear();
    router.admit(now, &head).expect("the request is admitted")
}

/// Sends a request that shares no prompt and receives its response immediately.
pub(crate) fn send(router: &mut Router, now: MonoTime, id: &str) -> Result<Choice, ChooseError> {
    let plan = plan(router, now, id);
    let choice = router.choose(now, &plan, None, &[])?;
    router.record_outcome(now, &plan, &choice, Outcome::Good);
    Ok(choice)
}

/// Returns the choice of an announced backend server.
pub(crate) fn choice(number: u8) -> Choice {
    let server = announcement(number);
    Choice {
        id: server.id,
        started_at: server.started_at,
        addr: server.addr,
        version: server.version,
        prefill_time: ms(0),
        candidates: 1,
        forecast: None,
    }
}
