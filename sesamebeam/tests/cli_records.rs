//! `sesamebeam report bills` and `settle`.

#[path = "fakes/daemons.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod daemons;

use daemons::Fleet;
use sesamebeam::cli::Exit;
use sesamebeam_core::message::{
    control::{
        ControlReply,
        ControlRequest, //
    },
    record::{
        Bill,
        BillState,
        ClaimKey,
        Usage, //
    },
};

/// Entries that the scripted group has.
const BILLS: u64 = 1203;

fn bill(seq: u64) -> Bill {
    Bill {
        seq,
        key: ClaimKey {
            org: "crew".into(),
            key: format!("sheet\t{seq}").into(),
        },
        request: u128::from(seq),
        class: "job-sheet".into(),
        version: (seq % 2 == 1).then(|| "parte@v7".into()),
        usage: Usage {
            prompt_tokens: 10,
            completion_tokens: 20,
        },
        state: if seq == 2 {
            BillState::Open
        } else {
            BillState::Charged
        },
        at: 1_700_000_000_000,
    }
}

fn bills(req: ControlRequest) -> Option<ControlReply> {
    let ControlRequest::Bills { from, limit } = req else {
        panic!("{req:?}");
    };
    let end = (from + u64::from(limit)).min(BILLS + 1);
    Some(ControlReply::Bills((from..end).map(bill).collect()))
}

#[test]
fn every_bill_once() {
    let mut fleet = Fleet::new();
    fleet.control(bills);
    let ran = fleet.run(&["report", "bills", "--json"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    let seqs: Vec<u64> = ran
        .out
        .lines()
        .map(|line| {
            serde_json::from_str::<serde_json::Value>(line).unwrap()["seq"]
                .as_u64()
                .unwrap()
        })
        .collect();
    assert_eq!(seqs, (1..=BILLS).collect::<Vec<_>>());
}

#[test]
fn part_of_bills() {
    let mut fleet = Fleet::new();
    fleet.control(bills);
    let ran = fleet.run(&["report", "bills", "--from", "2", "--limit", "2"]);
    insta::assert_snapshot!(ran.out);
    let ran = fleet.run(&["report", "bills", "--from", "1204"]);
    assert_eq!(ran.out.lines().count(), 1);
    assert_eq!(ran.exit, Exit::Done);
}

#[test]
fn settled_once() {
    let mut fleet = Fleet::new();
    let mut open = true;
    fleet.control(move |req| match req {
        ControlRequest::Settle(settle) => {
            assert!(settle.ran);
            assert_eq!(settle.usage.completion_tokens, 7);
            Some(ControlReply::Settled(std::mem::take(&mut open)))
        }
        other => panic!("{other:?}"),
    });
    let args = [
        "settle",
        "crew",
        "sheet-2",
        "--ran",
        "--completion-tokens",
        "7",
    ];
    let ran = fleet.run(&args);
    assert_eq!(
        (ran.exit, ran.out.as_str()),
        (Exit::Done, "settled: charged\n")
    );
    let ran = fleet.run(&args);
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.out.starts_with("nothing settled"));
}
