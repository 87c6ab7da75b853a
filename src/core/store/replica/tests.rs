//! The cost of deriving the urgency that jobs inherit, counted in visits, on graphs of several shapes.

use super::*;
use crate::core::model::time::MS_PER_S;
use crate::core::records::keys::job_key;
use crate::core::test_support::config;
use crate::wire::{Change, Changes, Entry, Listing, Priority};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::Value;

/// A job is placed in a topological order once, and its dependencies inherit from it once.
const PASSES_PER_FULL_READ: usize = 2;

const ENTRIES_PER_PAGE: usize = 40;

/// The estimate of the last stage, as a multiple of that of the first.
const ESTIMATE_GROWTH: f64 = 1e5;

/// Jobs in an order in which each comes after the jobs that it depends on.
struct Pipeline {
    name: &'static str,
    dependencies: Vec<Vec<usize>>,
    estimates_s: Vec<f64>,
    deadlines_s: Vec<Option<f64>>,
    priorities: Vec<Priority>,
    /// The numbers of the jobs' ids.
    numbers: Vec<usize>,
}

impl Pipeline {
    fn new(name: &'static str, dependencies: Vec<Vec<usize>>) -> Self {
        let mut rng = StdRng::seed_from_u64(49);
        let jobs = dependencies.len();
        let growth = |job: usize| ESTIMATE_GROWTH.powf(job as f64 / jobs as f64);
        let estimates = (0..jobs).map(|job| growth(job) * rng.random_range(0.01..0.05));
        let estimates_s = estimates.collect();
        let mut deadlines_s = vec![None; jobs];
        deadlines_s[jobs - 1] = Some(86_400.0);
        Self {
            name,
            dependencies,
            estimates_s,
            deadlines_s,
            priorities: vec![Priority::Normal; jobs],
            numbers: (1..=jobs).collect(),
        }
    }

    /// Stages whose estimates give each path to the last job a length of its own. In each stage the longest
    /// job comes first.
    fn with_distinct_paths(name: &'static str, stage_count: usize, width: usize) -> Self {
        let mut pipeline = Self::new(name, stages(stage_count, width));
        for (job, estimate_s) in pipeline.estimates_s.iter_mut().enumerate() {
            let (stage, position) = (job / width, job % width);
            let unit_ms = width.pow(u32::try_from(stage).unwrap());
            *estimate_s = ((width - 1 - position) * unit_ms) as f64 / MS_PER_S;
        }
        pipeline
    }

    /// The same jobs, but each has a priority and may have a deadline.
    fn with_mixed_urgency(mut self) -> Self {
        let mut rng = StdRng::seed_from_u64(50);
        let levels = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ];
        for job in 0..self.jobs() {
            let due = rng.random_range(1e3..1e6);
            self.deadlines_s[job] = rng.random_bool(0.5).then_some(due);
            self.priorities[job] = levels[rng.random_range(0..levels.len())];
        }
        self
    }

    fn jobs(&self) -> usize {
        self.dependencies.len()
    }

    fn id(&self, job: usize) -> JobId {
        format!("req-{:06}", self.numbers[job]).into()
    }

    fn value(&self, job: usize) -> Value {
        let names = self.dependencies[job].iter();
        let names: Vec<_> = names
            .map(|job| format!("{:06}", self.numbers[*job]))
            .collect();
        serde_json::json!({"s": "pending", "at": 1000 + job, "n": 1, "jd": {
            "c": "c", "t": "red", "k": "sweep", "p": self.priorities[job], "n": 1, "cpu": 1.0,
            "gpu": 0.0, "mem": 1.0, "img": "i", "igb": 1.0, "est": self.estimates_s[job],
            "ck": 0.0, "sv": 0.0, "dl": self.deadlines_s[job], "aw": names.join(" ")}})
    }

    fn key(&self, job: usize) -> String {
        job_key(&self.id(job))
    }

    fn version(job: usize) -> Version {
        job as Version + 1
    }

    /// The number of jobs and dependencies that a job needs, itself included.
    fn size_below(&self, job: usize) -> usize {
        let mut seen = BTreeSet::from([job]);
        let mut to_visit = vec![job];
        let mut edges = 0;
        while let Some(job) = to_visit.pop() {
            for dependency in &self.dependencies[job] {
                edges += 1;
                if seen.insert(*dependency) {
                    to_visit.push(*dependency);
                }
            }
        }
        seen.len() + edges
    }

    fn size(&self) -> usize {
        self.jobs() + self.dependencies.iter().map(Vec::len).sum::<usize>()
    }

    /// The urgency that each of the first `count` jobs inherits, derived from the last job to the first.
    fn expected(&self, count: usize) -> Vec<Option<Urgency>> {
        let mut inherited: Vec<Option<Urgency>> = vec![None; count];
        for job in (0..count).rev() {
            let deadline_ms = self.deadlines_s[job].map(whole_ms);
            let own_due_ms = deadline_ms.map(|due| 1000 + job as u64 + due);
            let from_dependents = inherited[job];
            let due_ms = [
                own_due_ms,
                from_dependents.and_then(|urgency| urgency.due_ms),
            ];
            let due_ms = due_ms.into_iter().flatten().min();
            let estimate_ms = whole_ms(self.estimates_s[job]);
            let passed_due_ms = due_ms.map(|due| due.saturating_sub(estimate_ms));
            let priority = from_dependents.map_or(self.priorities[job], |urgency| {
                urgency.priority.max(self.priorities[job])
            });
            for dependency in &self.dependencies[job] {
                let earlier = inherited[*dependency];
                let earlier_due_ms = earlier.and_then(|urgency| urgency.due_ms);
                inherited[*dependency] = Some(Urgency {
                    priority: earlier.map_or(priority, |urgency| urgency.priority.max(priority)),
                    due_ms: [earlier_due_ms, passed_due_ms].into_iter().flatten().min(),
                });
            }
        }
        inherited
    }

    fn assert_expected(&self, store: &StoreReplica, count: usize, case: &str) {
        for (job, expected) in self.expected(count).iter().enumerate() {
            let inherited = store.inherited_urgency(&self.id(job));
            assert_eq!(inherited, expected.as_ref(), "{} {case} {job}", self.name);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "fractions of a millisecond are dropped, as by the code under test"
)]
fn whole_ms(seconds: f64) -> u64 {
    (seconds * MS_PER_S) as u64
}

/// `stages` of `width` jobs, each of which needs all jobs of the stage before, and a last job.
fn stages(stages: usize, width: usize) -> Vec<Vec<usize>> {
    let stage_of = |stage: usize| (stage * width..(stage + 1) * width).collect::<Vec<_>>();
    let mut dependencies = vec![Vec::new(); width];
    for stage in 1..stages {
        dependencies.extend(vec![stage_of(stage - 1); width]);
    }
    dependencies.push(stage_of(stages - 1));
    dependencies
}

fn random_dependencies(jobs: usize, most: usize) -> Vec<Vec<usize>> {
    let mut rng = StdRng::seed_from_u64(51);
    let mut dependencies_of = |job: usize| {
        let count = rng.random_range(0..=most.min(job));
        let needed: BTreeSet<_> = (0..count).map(|_| rng.random_range(0..job)).collect();
        needed.into_iter().collect()
    };
    let mut dependencies: Vec<Vec<usize>> = (0..jobs).map(&mut dependencies_of).collect();
    dependencies.push((jobs - most..jobs).collect());
    dependencies
}

fn pipelines() -> Vec<Pipeline> {
    let chain = || (0..400_usize).map(|job| job.checked_sub(1).into_iter().collect());
    let tree = (0..255_usize).map(|job| match job {
        0..128 => Vec::new(),
        _ => vec![(job - 128) * 2, (job - 128) * 2 + 1],
    });
    let mut star = vec![Vec::new(); 200];
    star.push((0..200).collect());
    let mut fan = vec![vec![0]; 200];
    fan[0] = Vec::new();
    fan.push((1..200).collect());
    vec![
        Pipeline::new("chain", chain().collect()),
        Pipeline::new("chain of mixed urgency", chain().collect()).with_mixed_urgency(),
        Pipeline::with_distinct_paths("pairs", 18, 2),
        Pipeline::with_distinct_paths("triples", 9, 3),
        Pipeline::new("stages", stages(9, 6)),
        Pipeline::new("stages of mixed urgency", stages(9, 6)).with_mixed_urgency(),
        Pipeline::new("tree", tree.collect()),
        Pipeline::new("star", star),
        Pipeline::new("fan", fan),
        Pipeline::new("random", random_dependencies(250, 5)),
        Pipeline::new("random of mixed urgency", random_dependencies(250, 5)).with_mixed_urgency(),
    ]
}

/// Assigns the ids so that a listing has the jobs in the given order, in its reverse and in random orders.
fn with_each_order_of_ids(pipeline: &mut Pipeline, check: impl Fn(&Pipeline, &str)) {
    check(pipeline, "in order");
    pipeline.numbers.reverse();
    check(pipeline, "in reverse");
    for seed in 0..4 {
        pipeline.numbers.shuffle(&mut StdRng::seed_from_u64(seed));
        check(pipeline, &format!("shuffled with seed {seed}"));
    }
}

fn empty_replica() -> StoreReplica {
    StoreReplica::new(&config())
}

/// Lists the first `count` jobs by their ids, in pages, as a step of the core applies each.
fn read_fully(store: &mut StoreReplica, pipeline: &Pipeline, count: usize) {
    let mut jobs: Vec<usize> = (0..count).collect();
    jobs.sort_by_key(|job| pipeline.id(*job));
    let pages: Vec<_> = jobs.chunks(ENTRIES_PER_PAGE).collect();
    if pages.is_empty() {
        store.apply_page(&listing(Vec::new(), false, 0), 0.0, 0.0);
    }
    for (index, page) in pages.iter().enumerate() {
        let entries = page.iter().map(|job| Entry {
            key: pipeline.key(*job),
            value: pipeline.value(*job),
            version: Pipeline::version(*job),
        });
        let page = listing(entries.collect(), index + 1 < pages.len(), count);
        store.apply_page(&page, 0.0, 0.0);
        store.update_inherited_urgency();
    }
    assert!(store.is_complete());
}

fn listing(entries: Vec<Entry>, more: bool, revision: usize) -> Listing {
    Listing {
        entries,
        more,
        revision: revision as Version,
    }
}

fn read_changes(store: &mut StoreReplica, pipeline: &Pipeline, jobs: std::ops::Range<usize>) {
    let revision = jobs.end as Version;
    let events = jobs.map(|job| Change {
        put_key: Some(pipeline.key(job)),
        deleted_key: None,
        value: pipeline.value(job),
        version: Pipeline::version(job),
    });
    let changes = Changes {
        revision,
        events: events.collect(),
    };
    store.apply_changes(&changes, 0.0, 0.0);
    store.update_inherited_urgency();
}

fn visits(store: &StoreReplica) -> usize {
    usize::try_from(store.dependency_visits()).unwrap()
}

/// Guards against a record that makes a controller walk each path to the jobs that it needs, of which there
/// may be exponentially many (docs/incidents/2026-12-pipeline-with-deadline.md).
#[test]
fn a_record_visits_each_job_that_it_needs_at_most_once() {
    for mut pipeline in pipelines() {
        with_each_order_of_ids(&mut pipeline, |pipeline, case| {
            let mut store = empty_replica();
            read_fully(&mut store, pipeline, 0);
            for job in 0..pipeline.jobs() {
                let before = visits(&store);
                read_changes(&mut store, pipeline, job..job + 1);
                let (cost, bound) = (visits(&store) - before, pipeline.size_below(job));
                let name = pipeline.name;
                assert!(cost <= bound, "{name} {case} {job}: {cost} of {bound}");
            }
            pipeline.assert_expected(&store, pipeline.jobs(), case);
        });
    }
}

/// A record that raises no other job's urgency is not passed on beyond the jobs that it names.
#[test]
fn records_of_equal_urgency_visit_each_dependency_a_constant_number_of_times() {
    for mut pipeline in pipelines() {
        pipeline.deadlines_s.fill(None);
        pipeline.priorities.fill(Priority::Normal);
        let mut store = empty_replica();
        read_fully(&mut store, &pipeline, 0);
        for job in 0..pipeline.jobs() {
            read_changes(&mut store, &pipeline, job..job + 1);
        }
        // Once for the job's own record, and once when the job gets its first dependent.
        let (cost, bound) = (visits(&store), 2 * pipeline.size());
        assert!(cost <= bound, "{}: {cost} of {bound}", pipeline.name);
        pipeline.assert_expected(&store, pipeline.jobs(), "without deadlines");
    }
}

/// Checks the cost and the result of a full read of all jobs.
fn assert_cost_of_full_read(store: &mut StoreReplica, pipeline: &Pipeline, case: &str) {
    let before = visits(store);
    read_fully(store, pipeline, pipeline.jobs());
    let cost = visits(store) - before;
    let bound = PASSES_PER_FULL_READ * pipeline.size();
    let name = pipeline.name;
    assert!(cost <= bound, "{name} {case}: {cost} of {bound}");
    pipeline.assert_expected(store, pipeline.jobs(), case);
}

/// Guards against a controller that cannot start again beside the jobs that stopped it.
#[test]
fn a_full_read_visits_each_job_a_constant_number_of_times_in_any_order_of_ids() {
    for mut pipeline in pipelines() {
        with_each_order_of_ids(&mut pipeline, |pipeline, case| {
            assert_cost_of_full_read(&mut empty_replica(), pipeline, case);
        });
    }
}

/// A read after the store has discarded changes lists known and new jobs together.
#[test]
fn a_repeated_full_read_visits_each_job_a_constant_number_of_times_in_any_order_of_ids() {
    for mut pipeline in pipelines() {
        with_each_order_of_ids(&mut pipeline, |pipeline, case| {
            let known = pipeline.jobs() / 2;
            let mut store = empty_replica();
            read_fully(&mut store, pipeline, 0);
            read_changes(&mut store, pipeline, 0..known);
            pipeline.assert_expected(&store, known, case);
            store.restart_full_read(0.0);
            assert_cost_of_full_read(&mut store, pipeline, case);
        });
    }
}

/// Jobs that depend on each other are never accepted, but a damaged record may name any job.
#[test]
fn jobs_that_depend_on_each_other_do_not_stop_the_replica() {
    let cycle = vec![vec![2], vec![0], vec![1], vec![3], vec![2, 3]];
    let pipeline = Pipeline::new("cycle", cycle);
    for by_full_read in [false, true] {
        let mut store = empty_replica();
        read_fully(&mut store, &pipeline, if by_full_read { 5 } else { 0 });
        read_changes(&mut store, &pipeline, 0..5);
        let bound = 2 * PASSES_PER_FULL_READ * pipeline.size();
        assert!(visits(&store) <= bound, "{}", visits(&store));
    }
}
