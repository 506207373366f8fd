//! Compares the simulated queues with closed-form results of queueing theory.

use hollymux_capacity::queueing_theory::{erlang_c_mean_wait, processor_sharing_mean_time};
use hollymux_capacity::shared_link::SharedLink;
use hollymux_capacity::worker_pool::WorkerPool;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

/// Mean service time of a job on an otherwise idle link or pool, in microseconds.
const MEAN_SERVICE_US: f64 = 10_000.0;

fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    Exp1.sample(rng)
}

/// The result of a run of a shared link under Poisson arrivals of jobs with exponential sizes.
struct LinkRun {
    link: SharedLink,
    duration_us: u64,
    started_jobs: u64,
    completed_jobs: u64,
    /// Total time that completed jobs spent on the link, in microseconds.
    total_time_us: f64,
    /// Time integral of the number of active jobs, in microseconds.
    active_time_us: f64,
}

impl LinkRun {
    /// Runs a link until `completed_jobs` jobs are complete. A job alone on the link takes a
    /// microsecond per byte; `load` is the offered load as a share of the link's capacity.
    fn new(load: f64, completed_jobs: u64) -> LinkRun {
        let mut rng = Pcg64Mcg::seed_from_u64(5);
        let mut run = LinkRun {
            link: SharedLink::new(1e6, 1e6),
            duration_us: 0,
            started_jobs: 0,
            completed_jobs: 0,
            total_time_us: 0.0,
            active_time_us: 0.0,
        };
        let mut next_arrival_us = 0u64;
        let mut arrivals_us = Vec::new();
        while run.completed_jobs < completed_jobs {
            let completion_us = run.link.next_completion_us().unwrap_or(u64::MAX);
            let event_us = completion_us.min(next_arrival_us);
            let active_jobs = run.link.active_transfers() as f64;
            run.active_time_us += (event_us - run.duration_us) as f64 * active_jobs;
            run.duration_us = event_us;
            if completion_us <= next_arrival_us {
                run.complete_jobs(&arrivals_us);
            } else {
                arrivals_us.push(event_us);
                let bytes = exponential(&mut rng) * MEAN_SERVICE_US;
                run.link.start(event_us, run.started_jobs, bytes);
                run.started_jobs += 1;
                let gap_us = exponential(&mut rng) * MEAN_SERVICE_US / load;
                next_arrival_us = event_us + gap_us as u64;
            }
        }
        run
    }

    fn complete_jobs(&mut self, arrivals_us: &[u64]) {
        while let Some(job) = self.link.take_completed(self.duration_us) {
            self.total_time_us += (self.duration_us - arrivals_us[job as usize]) as f64;
            self.completed_jobs += 1;
        }
    }
}

#[test]
fn a_shared_link_matches_processor_sharing_theory_and_littles_law() {
    for load in [0.3, 0.7] {
        let run = LinkRun::new(load, 200_000);
        let mean_time_us = run.total_time_us / run.completed_jobs as f64;
        let mean = mean_time_us / MEAN_SERVICE_US;
        let expected = processor_sharing_mean_time(load).unwrap();
        assert!(
            (mean / expected - 1.0).abs() < 0.05,
            "load {load}: mean time {mean}, expected {expected}"
        );
        // Little's law: the mean number of active jobs is the arrival rate times the mean time on
        // the link.
        let duration_us = run.duration_us as f64;
        let expected_active = run.started_jobs as f64 / duration_us * mean_time_us;
        assert!((run.active_time_us / duration_us / expected_active - 1.0).abs() < 0.01);
        let seconds = (run.duration_us / 1_000_000) as usize;
        let used: f64 = (0..seconds).map(|second| run.link.utilization(second)).sum();
        assert!(
            (used / seconds as f64 / load - 1.0).abs() < 0.03,
            "load {load}: {used} link seconds used in {seconds} s"
        );
    }
    assert_eq!(
        (processor_sharing_mean_time(1.0), erlang_c_mean_wait(4.0, 4), erlang_c_mean_wait(1.0, 0)),
        (None, None, None)
    );
}

#[test]
fn calls_wait_for_workers_as_long_as_erlang_c_predicts() {
    for (load, worker_count) in [(0.6, 1), (3.2, 4), (14.0, 16)] {
        let mut rng = Pcg64Mcg::seed_from_u64(9);
        let mut pool = WorkerPool::new(Some(worker_count), None);
        let mut now_us = 0.0;
        let mut total_wait_us = 0.0;
        let calls = 300_000;
        for _ in 0..calls {
            now_us += exponential(&mut rng) * MEAN_SERVICE_US / load;
            let service_us = (exponential(&mut rng) * MEAN_SERVICE_US) as u64;
            let done_us = pool.submit(now_us as u64, service_us).unwrap();
            total_wait_us += done_us as f64 - now_us - service_us as f64;
        }
        let mean = total_wait_us / calls as f64 / MEAN_SERVICE_US;
        let expected = erlang_c_mean_wait(load, worker_count).unwrap();
        assert!(
            (mean / expected - 1.0).abs() < 0.08,
            "load {load}, {worker_count} workers: mean wait {mean}, expected {expected}"
        );
    }
    // The pool rejects calls above its rate limit.
    let mut pool = WorkerPool::new(None, Some(10.0));
    let accepted = (0..100u64).filter(|call| pool.submit(call * 50_000, 1).is_some()).count();
    assert!(
        (45..=60).contains(&accepted),
        "{accepted} of 100 calls accepted at twice the rate limit"
    );
}
