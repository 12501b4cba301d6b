//! Property tests: no input from backend servers or the rating service causes a
//! panic.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use sesamebeam_core::{
    fleet::Priority,
    message::server::{
        Announcement,
        Load,
        Rating, //
    },
    policy::{
        balance::{
            Balance,
            BalanceConfig,
            PickInput,
            Route, //
        },
        exposure::{
            Exposure,
            ExposureConfig,
            Observation, //
        },
        quality::{
            Quality,
            QualityConfig,
            RatingOutcome, //
        },
        servers::{
            Announced,
            Servers,
            ServersConfig, //
        },
    },
};

use crate::fixtures::{
    addr,
    announcement,
    fleet,
    secs, //
};

fn load() -> impl Strategy<Value = Load> {
    (any::<u32>(), any::<u32>(), any::<f32>(), any::<u32>()).prop_map(
        |(running, waiting, kv_used, age_ms)| Load {
            running,
            waiting,
            kv_used,
            age_ms,
        },
    )
}

fn announcements() -> impl Strategy<Value = Announcement> {
    let names = (0usize..3, 0usize..3, 0u16..4);
    let numbers = (0u64..4, 0u64..20, any::<bool>(), any::<f32>());
    (names, numbers, load()).prop_map(
        |((domain, pool, number), (incarnation, seq, leaving, speed), load)| Announcement {
            pool: ["pool", "api", "ghost"][pool].into(),
            domain: ["hall-1", "hall-2", "ghost"][domain].into(),
            incarnation,
            leaving,
            speed,
            load,
            ..announcement(number, seq)
        },
    )
}

fn ratings() -> impl Strategy<Value = Rating> {
    let version = prop_oneof!["beam@(cheap|mid|best|next|ghost)", ".{0,20}"];
    (0u128..20, version, any::<f64>(), any::<u64>()).prop_map(|(request, version, score, age)| {
        Rating {
            request,
            class: "ask".into(),
            version: version.into(),
            score,
            age: Duration::from_millis(age),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_announcement(sent in prop::collection::vec(announcements(), 1..60)) {
        let mut servers = Servers::new(ServersConfig::default());
        servers.configure(&fleet());
        let mut balance = Balance::new(BalanceConfig::default(), "hall-1".into(), 1);
        balance.configure(&fleet());
        for (second, announcement) in sent.iter().enumerate() {
            let now = secs(second as u64);
            let announced = servers.announce(now, announcement);
            if !matches!(announced, Announced::Stale | Announced::Ignored(_))
                && let Some(taken) = servers.get(announcement.addr)
            {
                balance.upsert(now, taken);
            }
            servers.tick(now);
            let input = PickInput {
                route: Route::Version("beam@mid"),
                prefix: Some(1),
                prompt_tokens: u32::MAX,
                max_tokens: u32::MAX,
                priority: Priority::Urgent,
                exclude: &[],
                isolated: false,
            };
            if let Some(pick) = balance.pick(now, &input) {
                balance.started(pick.server.addr, Some(1), false);
                prop_assert!(balance.accepts_requests(now, pick.server));
            }
            prop_assert!(servers.reachable().all(|s| s.domain != "ghost" && s.pool != "ghost"));
        }
        let counts = servers.counts();
        let seen = counts.accepted + counts.stale + counts.domain + counts.pool + counts.incarnation;
        prop_assert_eq!(seen, sent.len() as u64);
    }

    #[test]
    fn any_rating(sent in prop::collection::vec(ratings(), 1..60)) {
        let mut quality = Quality::new(QualityConfig::default());
        quality.configure(&fleet());
        let mut exposure = Exposure::new(ExposureConfig::default());
        exposure.configure(&fleet());
        for request in 0..10 {
            quality.await_rating(secs(1), request, &"ask".into(), &"beam@mid".into());
        }
        for rating in &sent {
            if let RatingOutcome::Counted { good, .. } = quality.rate(secs(2), rating) {
                let seen = Observation::Rated { good };
                exposure.observe(secs(2), &rating.version, &rating.class, seen, &quality);
            }
            let confidence = quality.confidence("ask", &rating.version, rating.score);
            prop_assert!((0.0..=1.0).contains(&confidence));
        }
        let counts = quality.counts();
        prop_assert!(counts.counted <= 10);
    }

    #[test]
    fn any_load(sent in prop::collection::vec(load(), 1..60)) {
        let mut balance = Balance::new(BalanceConfig::default(), "hall-1".into(), 1);
        balance.configure(&fleet());
        balance.upsert(secs(0), &announcement(0, 1));
        for load in sent {
            balance.apply_load(secs(1), addr(0), load);
            prop_assert!(balance.capacity(secs(2), "pool") <= 4);
        }
    }
}
