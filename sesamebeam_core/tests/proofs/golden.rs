//! Golden files of sessions: the messages that entries send on each interface.

use std::time::Duration;

use sesamebeam_core::{
    entry::event::{
        EntryAction,
        SessionRef, //
    },
    message::control::ControlRequest,
};

use crate::world::{
    Fault,
    World,
    files,
    history::Spec, //
};

/// Formats an action as one line, or `None` for periodic messages.
fn line(world: &World, entry: usize, action: &EntryAction) -> Option<String> {
    let to = |server: &std::net::SocketAddr| {
        let at = world.server_at(*server);
        let kind = if world.servers[at].engine {
            "engine"
        } else {
            "service"
        };
        format!("entry-{entry} to {kind} {server}")
    };
    let caller = format!("entry-{entry} to caller");
    Some(match action {
        EntryAction::Dispatch(d) => {
            let version = d.version.as_deref().unwrap_or("-");
            let hold = if d.hold { ", held back" } else { "" };
            format!(
                "{}: {:?} {version}, {:?}{hold}",
                to(&d.server.addr),
                d.kind,
                d.priority
            )
        }
        EntryAction::Cancel { server, .. } => format!("{}: cancel", to(server)),
        EntryAction::SendToControl { req, .. } => match &**req {
            ControlRequest::Renew(_) | ControlRequest::Evidence(_) => return None,
            ControlRequest::Claim(c) => {
                format!(
                    "entry-{entry} to control: claim {} for {}",
                    c.key.key, c.target.addr
                )
            }
            ControlRequest::Complete(c) => {
                let end = format!("{:?}", c.end);
                let end = end.split('(').next().unwrap_or_default().to_owned();
                format!("entry-{entry} to control: end {} as {end}", c.key.key)
            }
            ControlRequest::GetClaim(key) => format!("entry-{entry} to control: look {}", key.key),
            ControlRequest::Pin(pin) => format!(
                "entry-{entry} to control: pin {} to {}, replacing {}",
                pin.key.session, pin.version, pin.replaces
            ),
            _ => return None,
        },
        EntryAction::Replay { headers, .. } => {
            format!("{caller}: kept answer of {:?}", headers.version.as_deref())
        }
        EntryAction::Refuse { refusal, .. } => format!(
            "{caller}: {} {}, {}, again after {:?}",
            refusal.reason.status(),
            refusal.reason.name(),
            refusal.outcome.name(),
            refusal.retry_after
        ),
        EntryAction::Release { .. } => format!("{caller}: releases the held answer"),
        EntryAction::Finish { .. } => format!("{caller}: end of the answer"),
        EntryAction::RateNow { version, .. } => {
            format!("entry-{entry} to rating service: rate {version} now")
        }
        EntryAction::Sample { version, .. } => {
            format!("entry-{entry} to rating service: sample of {version}")
        }
        _ => return None,
    })
}

fn lines(world: &mut World) -> Vec<String> {
    let actions = world.history.actions.take().unwrap_or_default();
    world.history.actions = Some(Vec::new());
    assert!(
        world.history.violations().is_empty(),
        "{:?}",
        world.history.violations()
    );
    actions
        .iter()
        .filter_map(|(at, entry, action)| {
            let line = line(world, *entry, action)?;
            Some(format!("{:6} ms {line}", at.as_millis()))
        })
        .collect()
}

fn named(class: &'static str, org: &str, session: &str) -> Spec {
    let mut spec = Spec::new(org, class, 21);
    spec.session = Some(SessionRef::Name(session.into()));
    spec
}

#[test]
fn huallaga_morning() {
    let mut world = World::plain(21);
    world.history.actions = Some(Vec::new());
    let question = world.call(0, Spec::new("huallaga", "question", 1));
    world.wait_result(question);
    // A cascade: the draft of a list of materials is rated.
    let materials = world.call(0, Spec::new("vazna", "roster", 2));
    world.wait_result(materials);
    // A confirmation whose response is lost with the connection, and its resend.
    let sheet = || Spec::new("huallaga", "confirmation", 3).key("sheet-118");
    let lost = world.call(0, sheet());
    world.wait(|world| (world.history.runs_of("sheet-118") == 1).then_some(()));
    world.hang_up(lost);
    world.run(Duration::from_secs(3));
    let again = world.call(1, sheet());
    world.wait_result(again);
    let summary = world.call(2, named("question", "huallaga", "supervisor"));
    world.wait_result(summary);
    assert_eq!(world.history.runs_of("sheet-118"), 1);
    insta::assert_yaml_snapshot!(lines(&mut world));
}

#[test]
fn vazna_lock_slot() {
    let mut world = World::plain(22);
    world.history.actions = Some(Vec::new());
    let roster = world.call(0, named("roster", "vazna", "convoy-4"));
    world.run(Duration::from_millis(50));
    let spec = Spec::new("vazna", "confirmation", 5).key("lock-9");
    let confirmed = world.call(0, spec);
    world.wait_result(confirmed);
    world.wait_result(roster);
    // The version of the session is withdrawn while the session is in use.
    let pinned = world.history.calls[roster].version.clone().unwrap();
    let name = &pinned["beam@".len()..];
    world.apply(1, files::withdraw(files::fleet(), name));
    world.wait(|world| world.history.in_force.get(&2).copied());
    let renewed = world.call(1, named("roster", "vazna", "convoy-4"));
    world.wait_result(renewed);
    // The failure domain of entry 0 is isolated for longer than its lease.
    world.inject_fault(Fault::IsolateDomain(0));
    world.run(Duration::from_secs(5));
    let token = world.history.calls[renewed].token.clone().unwrap();
    let mut by_token = Spec::new("vazna", "status", 6);
    by_token.session = Some(SessionRef::Token(token));
    let calls = [
        world.call(0, by_token),
        world.call(0, named("status", "vazna", "convoy-5")),
        world.call(0, Spec::new("vazna", "confirmation", 7).key("lock-10")),
    ];
    for call in calls {
        world.wait_result(call);
    }
    world.inject_fault(Fault::ReconnectDomain(0));
    world.run(Duration::from_secs(5));
    let joined = world.call(0, Spec::new("vazna", "confirmation", 7).key("lock-10"));
    world.wait_result(joined);
    insta::assert_yaml_snapshot!(lines(&mut world));
}
