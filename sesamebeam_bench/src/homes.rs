//! Ways to home claims, weighed by a small seeded computation.
//!
//! No daemon runs here. Requests with a key are drawn, some of them resent
//! through another failure domain, while one domain is cut off or one disk is
//! lost; each way then says which of them it can serve, how long the claim
//! takes, and which keys it would let run twice.

use std::{
    path::PathBuf,
    time::Duration, //
};

use pico_args::Arguments;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use thiserror::Error;

use crate::slopes::{
    SlopeError,
    Slopes, //
};

const HELP: &str = "\
sesamebeam-bench homes - weighs the ways to home claims

SYNOPSIS
    sesamebeam-bench homes [--slopes FILE] [--fsync MICROSECONDS] [--seed N]

DESCRIPTION
    Computes availability, latency and exactness for each way and deployment.
    The time of one fsync comes from the slopes, or from --fsync.

OPTIONS
    --slopes FILE          Measured slopes. Default docs/slopes.toml.
    --fsync MICROSECONDS   Time of one fsync, in place of the measured one.
    --seed N               Seed of the draws. Default 1.
    -h, --help             Prints this page.
";

/// Requests with a key that are drawn for each way.
const REQUESTS: usize = 200_000;

/// Share of requests that are resent, such as after a lost answer.
const RESENT: f64 = 0.05;

/// Share of resends that come through another failure domain, because the
/// balancer sends them there.
const MOVED: f64 = 0.5;

/// Round trip inside one failure domain.
const NEAR: Duration = Duration::from_micros(200);

/// Why the computation failed.
#[derive(Debug, Error)]
pub enum HomesError {
    /// A typing error.
    #[error(transparent)]
    Args(#[from] pico_args::Error),
    /// An argument that is not known.
    #[error("unknown argument `{0}`; see --help")]
    Extra(String),
    /// The time of an fsync is not known.
    #[error(transparent)]
    Slopes(#[from] SlopeError),
}

/// A way to home claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// One group, one replica in each of three failure domains.
    OneGroup,
    /// A group in each failure domain, keys homed by hash, each group with a
    /// single disk.
    HashOneDisk,
    /// A group in each failure domain, keys homed by hash, three disks each.
    Hash,
    /// A group in each failure domain, three disks each; the system issues keys
    /// that name their domain.
    Ticket,
    /// A group in each region over its three failure domains; the system's
    /// callers of a region meet its group, resends from elsewhere are passed on
    /// by a hint in the key.
    Region,
}

impl Way {
    const ALL: [Self; 5] = [
        Self::OneGroup,
        Self::HashOneDisk,
        Self::Hash,
        Self::Ticket,
        Self::Region,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::OneGroup => "one group",
            Self::HashOneDisk => "hash, one disk",
            Self::Hash => "hash, three disks",
            Self::Ticket => "ticket, three disks",
            Self::Region => "group a region",
        }
    }
}

/// Where the claims are made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Name.
    pub name: &'static str,
    /// Regions.
    pub regions: usize,
    /// Failure domains in each region.
    pub domains: usize,
    /// Round trip between two failure domains of a region.
    pub across: Duration,
    /// Round trip between two regions.
    pub far: Duration,
}

/// The deployments. The delays of today's are the brief's; the letter gives
/// none between regions, so that 40 ms is an assumption.
pub const PLACES: [Place; 3] = [
    Place {
        name: "Huallaga",
        regions: 1,
        domains: 3,
        across: Duration::from_millis(1),
        far: Duration::ZERO,
    },
    Place {
        name: "Vazna",
        regions: 1,
        domains: 3,
        across: Duration::from_micros(2400),
        far: Duration::ZERO,
    },
    Place {
        name: "two years on",
        regions: 5,
        domains: 3,
        across: Duration::from_millis(1),
        far: Duration::from_millis(40),
    },
];

/// A failure domain, by region and position in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Domain {
    region: usize,
    at: usize,
}

/// The failure domain that is cut off, and that whose first disk is lost.
const HIT: Domain = Domain { region: 0, at: 0 };

/// What a way came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Instances with a disk that it needs.
    pub disks: usize,
    /// Share of first requests served inside the cut domain.
    pub cut_first: f64,
    /// Share of resends served inside it.
    pub cut_again: f64,
    /// Share of first requests served elsewhere meanwhile.
    pub rest_first: f64,
    /// Share of resends served elsewhere meanwhile.
    pub rest_again: f64,
    /// Median time of a claim, nothing cut.
    pub p50: Duration,
    /// Time that 99 in 100 claims keep, nothing cut.
    pub p99: Duration,
    /// Resent keys in 100,000 requests that may run twice after one lost disk.
    pub twice: f64,
    /// The same after a failure domain with all its disks is lost.
    pub twice_domain: f64,
}

/// One request with a key.
struct Drawn {
    /// Domain through which it first came.
    first: Domain,
    /// Domain through which it comes again.
    again: Option<Domain>,
    /// Hash of its key.
    hash: usize,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails at a typing error, or if no time of an fsync is known.
pub fn run(mut args: Arguments) -> Result<(), HomesError> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let slopes: Option<PathBuf> = args.opt_value_from_str("--slopes")?;
    let fsync: Option<f64> = args.opt_value_from_str("--fsync")?;
    let seed: Option<u64> = args.opt_value_from_str("--seed")?;
    if let Some(extra) = args.finish().first() {
        return Err(HomesError::Extra(extra.to_string_lossy().into_owned()));
    }
    let fsync = match fsync {
        Some(micros) => micros / 1e6,
        None => {
            let path = slopes.unwrap_or_else(|| "docs/slopes.toml".into());
            Slopes::read(&path)?.value("commit.fsync")?
        }
    };
    print!(
        "{}",
        table(Duration::from_secs_f64(fsync), seed.unwrap_or(1))
    );
    Ok(())
}

/// Writes the table as Markdown.
pub fn table(fsync: Duration, seed: u64) -> String {
    use std::fmt::Write;

    let mut out = String::new();
    for place in PLACES {
        let _ = writeln!(out, "{}, one fsync {fsync:.1?}:\n", place.name);
        out.push_str(
            "| way | disks | served in the cut domain: first, resent | elsewhere: first, resent \
             | claim p50, p99 | may run twice in 100,000: disk lost, domain lost |\n\
             |---|---|---|---|---|---|\n",
        );
        for way in Way::ALL {
            if way == Way::Region && place.regions == 1 {
                continue;
            }
            let o = weigh(way, &place, fsync, seed);
            let _ = writeln!(
                out,
                "| {} | {} | {:.1}%, {:.1}% | {:.1}%, {:.1}% | {:.1?}, {:.1?} | {:.0}, {:.0} |",
                way.name(),
                o.disks,
                o.cut_first * 100.0,
                o.cut_again * 100.0,
                o.rest_first * 100.0,
                o.rest_again * 100.0,
                o.p50,
                o.p99,
                o.twice,
                o.twice_domain,
            );
        }
        out.push('\n');
    }
    out
}

/// Weighs one way in one deployment.
pub fn weigh(way: Way, place: &Place, fsync: Duration, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let drawn: Vec<Drawn> = (0..REQUESTS).map(|_| draw(place, &mut rng)).collect();
    let mut tally = Tally::default();
    let mut times: Vec<Duration> = Vec::with_capacity(REQUESTS);
    for req in &drawn {
        times.push(claim_time(way, place, req, fsync));
        tally.take(way, place, req);
    }
    times.sort_unstable();
    let each = 100_000.0 / REQUESTS as f64;
    Outcome {
        disks: disks(way, place),
        cut_first: tally.cut_first.share(),
        cut_again: tally.cut_again.share(),
        rest_first: tally.rest_first.share(),
        rest_again: tally.rest_again.share(),
        p50: times[REQUESTS / 2],
        p99: times[REQUESTS * 99 / 100],
        twice: tally.twice as f64 * each,
        twice_domain: tally.twice_domain as f64 * each,
    }
}

fn draw(place: &Place, rng: &mut StdRng) -> Drawn {
    let domain = |rng: &mut StdRng| Domain {
        region: rng.random_range(0..place.regions),
        at: rng.random_range(0..place.domains),
    };
    let first = domain(rng);
    let again = rng.random_bool(RESENT).then(|| {
        if rng.random_bool(MOVED) {
            // A balancer moves a caller within its region.
            Domain {
                at: rng.random_range(0..place.domains),
                ..first
            }
        } else {
            first
        }
    });
    Drawn {
        first,
        again,
        hash: rng.random_range(0..place.regions * place.domains),
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    served: usize,
    all: usize,
}

impl Share {
    fn take(&mut self, served: bool) {
        self.all += 1;
        self.served += usize::from(served);
    }

    fn share(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

#[derive(Debug, Default)]
struct Tally {
    cut_first: Share,
    cut_again: Share,
    rest_first: Share,
    rest_again: Share,
    twice: usize,
    twice_domain: usize,
}

impl Tally {
    fn take(&mut self, way: Way, place: &Place, req: &Drawn) {
        let served = |through: Domain| serves(way, place, req, through);
        if req.first == HIT {
            self.cut_first.take(served(req.first));
        } else {
            self.rest_first.take(served(req.first));
        }
        let Some(again) = req.again else {
            return;
        };
        if again == HIT {
            self.cut_again.take(served(again));
        } else {
            self.rest_again.take(served(again));
        }
        let home_hit = home(way, place, req) == Some(HIT);
        // A group of three that loses one disk still has every claim at two;
        // a group of one has forgotten it, and the resend claims it anew.
        self.twice += usize::from(way == Way::HashOneDisk && home_hit);
        // A domain that is lost takes its own group's claims with it. If the
        // group is then made anew, its keys may be claimed a second time.
        self.twice_domain += usize::from(home_hit);
    }
}

/// Domain that alone holds the claim of a request; none if several do.
fn home(way: Way, place: &Place, req: &Drawn) -> Option<Domain> {
    match way {
        Way::OneGroup | Way::Region => None,
        Way::HashOneDisk | Way::Hash => Some(Domain {
            region: req.hash / place.domains,
            at: req.hash % place.domains,
        }),
        Way::Ticket => Some(req.first),
    }
}

/// Tells whether a request that comes through a domain is served while [`HIT`]
/// is cut off from every other one.
fn serves(way: Way, place: &Place, req: &Drawn, through: Domain) -> bool {
    match home(way, place, req) {
        Some(home) => (home == HIT) == (through == HIT),
        // A majority of the replicas is on the other side of the cut.
        None => through != HIT,
    }
}

/// Time of a claim: to the leader of its group and back, and inside the group
/// one round trip to the nearest follower beside one fsync there.
fn claim_time(way: Way, place: &Place, req: &Drawn, fsync: Duration) -> Duration {
    let leader = Domain { region: 0, at: 1 };
    let (to, inside) = match way {
        Way::OneGroup => {
            // Replicas of one group over all regions are far from each other.
            let inside = if place.regions > 1 {
                place.far
            } else {
                place.across
            };
            (leader, inside)
        }
        Way::Region => {
            let leader = Domain {
                region: req.first.region,
                ..leader
            };
            (leader, place.across)
        }
        Way::HashOneDisk => (home(way, place, req).unwrap_or(req.first), Duration::ZERO),
        Way::Hash | Way::Ticket => (home(way, place, req).unwrap_or(req.first), NEAR),
    };
    round_trip(place, req.first, to) + inside + fsync
}

fn round_trip(place: &Place, from: Domain, to: Domain) -> Duration {
    if from.region != to.region {
        place.far
    } else if from.at != to.at {
        place.across
    } else {
        NEAR
    }
}

fn disks(way: Way, place: &Place) -> usize {
    let domains = place.regions * place.domains;
    match way {
        // Three today; one a region when there are several.
        Way::OneGroup => place.regions.max(3),
        Way::HashOneDisk => domains,
        Way::Hash | Way::Ticket => domains * 3,
        Way::Region => domains,
    }
}
