//! What one replay measures.

use std::time::Duration;

use indexmap::IndexMap;
use sesamebeam_core::{
    fleet::Priority,
    ids::{
        MonoTime,
        OrgId,
        VersionId, //
    },
};

use super::deployment::Deployment;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Answered whole within its deadline.
    Whole {
        /// Whether the answer was truly good.
        good: bool,
    },
    /// Answered after its deadline, or not at all until then.
    Late,
    /// Refused, not run.
    Refused(Refusal),
    /// Failed, with leave to send it again.
    Failed,
    /// It may have run, and must not run again.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// It crashes backend servers.
    Quarantined,
    /// No version may run it.
    NoVersion,
    /// It would miss its deadline, or the queue is full.
    Admission,
    /// It was given up while it waited.
    GivenUp,
    /// No backend server has room.
    NoServer,
    /// Backend servers refused it and there is no retry left.
    NoRetry,
}

impl Refusal {
    pub(crate) const ALL: [Self; 6] = [
        Self::Quarantined,
        Self::NoVersion,
        Self::Admission,
        Self::GivenUp,
        Self::NoServer,
        Self::NoRetry,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::NoVersion => "no version",
            Self::Admission => "admission",
            Self::GivenUp => "given up",
            Self::NoServer => "no server",
            Self::NoRetry => "no retry",
        }
    }
}

/// A request that ended.
pub(crate) struct Ended {
    pub(crate) org: OrgId,
    pub(crate) traffic: usize,
    pub(crate) outcome: Outcome,
    pub(crate) latency: Duration,
    pub(crate) cost: f64,
    pub(crate) tokens: f64,
    pub(crate) attempts: u32,
    pub(crate) engine: bool,
    pub(crate) killer: bool,
}

/// Figures of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassFigures {
    pub(crate) name: smol_str::SmolStr,
    pub(crate) confirmation: bool,
    urgent: bool,
    pub(crate) target: Option<f64>,
    pub(crate) offered: u64,
    pub(crate) whole: u64,
    pub(crate) good: u64,
    pub(crate) unknown: u64,
    tokens: f64,
    cost: f64,
    /// Share of all tokens of the deployment, to weigh costs by.
    weight: f64,
    latencies: Vec<f64>,
}

impl ClassFigures {
    /// Latency in seconds that a share of the whole answers kept.
    pub(crate) fn latency(&self, share: f64) -> f64 {
        if self.latencies.is_empty() {
            return f64::NAN;
        }
        let mut sorted = self.latencies.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share).round() as usize]
    }

    /// Cost of 1000 tokens of whole answers.
    pub(crate) fn cost(&self) -> f64 {
        self.cost / self.tokens.max(1.0) * 1000.0
    }

    pub(crate) fn quality(&self) -> f64 {
        self.good as f64 / self.whole.max(1) as f64
    }
}

/// Offered and answered work of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct OrgFigures {
    offered: f64,
    whole: f64,
}

/// What one replay measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct Run {
    pub(crate) length: Duration,
    pub(crate) classes: Vec<ClassFigures>,
    orgs: IndexMap<OrgId, OrgFigures>,
    offered: u64,
    sent: u64,
    attempted: u64,
    fault_first: u64,
    fault_sent: u64,
    pub(crate) sent_to_leaving: u64,
    pub(crate) hedges: u64,
    refused: [u64; Refusal::ALL.len()],
    pub(crate) crashes: u64,
    pub(crate) shown_to_bad: u64,
    /// Times a request of another caller was quarantined.
    pub(crate) innocents: u64,
    /// Holds: version, when, and whether it was truly bad.
    pub(crate) holds: Vec<(VersionId, MonoTime, bool)>,
    /// Requests shown to a bad version when it was held.
    pub(crate) shown_until_held: Option<u64>,
}

impl Run {
    pub(crate) fn new(deployment: &Deployment) -> Self {
        let engine = |t: &super::deployment::Traffic| {
            let class = deployment.fleet.class(&t.class);
            class.is_some_and(|class| class.service.is_none())
        };
        let all: f64 = deployment
            .traffic
            .iter()
            .filter(|t| engine(t))
            .map(|t| t.share * t.tokens)
            .sum();
        let class = |t: &super::deployment::Traffic| {
            let class = deployment.fleet.class(&t.class);
            ClassFigures {
                name: t.class.clone(),
                confirmation: engine(t)
                    && class.is_some_and(|c| !c.idempotent && c.priority == Priority::Urgent),
                urgent: engine(t) && class.is_some_and(|c| c.priority == Priority::Urgent),
                target: deployment.target(&t.class),
                weight: if engine(t) {
                    t.share * t.tokens / all
                } else {
                    0.0
                },
                ..ClassFigures::default()
            }
        };
        Self {
            classes: deployment.traffic.iter().map(class).collect(),
            ..Self::default()
        }
    }

    pub(crate) fn arrived(&mut self, org: &OrgId, traffic: usize) {
        self.offered += 1;
        self.classes[traffic].offered += 1;
        self.orgs.entry(org.clone()).or_default();
    }

    pub(crate) fn sent(&mut self, leaving: bool, in_fault: bool, first: bool) {
        self.sent += 1;
        self.fault_first += u64::from(in_fault && first);
        self.fault_sent += u64::from(in_fault);
        self.sent_to_leaving += u64::from(leaving);
    }

    pub(crate) fn held(&mut self, version: &VersionId, now: MonoTime, bad: bool) {
        self.holds.push((version.clone(), now, bad));
        if bad && self.shown_until_held.is_none() {
            self.shown_until_held = Some(self.shown_to_bad);
        }
    }

    pub(crate) fn ended(&mut self, ended: Ended) {
        if ended.killer {
            return;
        }
        self.attempted += u64::from(ended.attempts > 0);
        let class = &mut self.classes[ended.traffic];
        class.cost += ended.cost;
        class.unknown += u64::from(ended.outcome == Outcome::Unknown);
        if ended.engine {
            self.orgs[&ended.org].offered += ended.tokens;
        }
        if let Outcome::Refused(why) = ended.outcome {
            self.refused[why as usize] += 1;
        }
        let Outcome::Whole { good } = ended.outcome else {
            return;
        };
        class.whole += 1;
        class.good += u64::from(good);
        class.tokens += ended.tokens;
        class.latencies.push(ended.latency.as_secs_f64());
        if ended.engine {
            self.orgs[&ended.org].whole += ended.tokens;
        }
    }

    /// Cost of 1000 tokens of whole answers, weighed by the traffic's mix of
    /// classes, so that refusing expensive classes brings nothing.
    pub(crate) fn cost(&self) -> f64 {
        let each = |c: &ClassFigures| c.weight * c.cost();
        self.classes.iter().map(each).sum()
    }

    /// Least distance of a class's quality above its target.
    pub(crate) fn margin(&self) -> f64 {
        let margin = |c: &ClassFigures| c.target.map(|target| c.quality() - target);
        self.classes
            .iter()
            .filter_map(margin)
            .fold(f64::INFINITY, f64::min)
    }

    /// Share of the requests answered whole in time.
    pub(crate) fn whole(&self) -> f64 {
        let whole: u64 = self.classes.iter().map(|class| class.whole).sum();
        whole as f64 / self.offered.max(1) as f64
    }

    /// Tokens a second of whole answers in time.
    pub(crate) fn useful(&self) -> f64 {
        let tokens: f64 = self.classes.iter().map(|class| class.tokens).sum();
        tokens / self.length.as_secs_f64()
    }

    /// Latency of confirmations that a share of them kept.
    pub(crate) fn confirmations(&self, share: f64) -> f64 {
        let class = self.classes.iter().find(|class| class.confirmation);
        class.map_or(f64::NAN, |class| class.latency(share))
    }

    /// Latency that a share of the answers to urgent requests kept, in the
    /// class where it is longest.
    pub(crate) fn urgent(&self, share: f64) -> f64 {
        let urgent = self.classes.iter().filter(|class| class.urgent);
        urgent.map(|class| class.latency(share)).fold(0.0, f64::max)
    }

    /// Attempts for each request that was sent at all.
    pub(crate) fn attempts(&self) -> f64 {
        self.sent as f64 / self.attempted.max(1) as f64
    }

    /// Attempts during the fault for each request first sent during it.
    pub(crate) fn attempts_in_fault(&self) -> f64 {
        self.fault_sent as f64 / self.fault_first.max(1) as f64
    }

    /// Requests refused for a reason.
    pub(crate) fn refused(&self, why: Refusal) -> u64 {
        self.refused[why as usize]
    }

    /// Least share, over organisations, of the work that a max-min fair
    /// division of all useful work would have given it.
    pub(crate) fn fairness(&self) -> f64 {
        let total: f64 = self.orgs.values().map(|org| org.whole).sum();
        let level = self.fair_level(total);
        self.orgs
            .values()
            .filter(|org| org.offered > 0.0)
            .map(|org| org.whole / org.offered.min(level))
            .fold(1.0, f64::min)
    }

    fn fair_level(&self, total: f64) -> f64 {
        let mut offers: Vec<f64> = self.orgs.values().map(|org| org.offered).collect();
        offers.sort_by(f64::total_cmp);
        let mut left = total;
        for (nth, offer) in offers.iter().enumerate() {
            let even = left / (offers.len() - nth) as f64;
            if *offer >= even {
                return even;
            }
            left -= offer;
        }
        offers.last().copied().unwrap_or(0.0)
    }
}
